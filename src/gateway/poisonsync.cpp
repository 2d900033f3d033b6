#include "gateway/poisonsync.h"

#include "libapricot/rendezvous.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"
#include "libserving/poisonobject.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    // Findings of one crash are collected for this long and written in one call.
    constexpr Milliseconds gatherDelay { 10 };
    constexpr Milliseconds minWriteInterval { 250 };
    constexpr Milliseconds retryDelay { 400 };
    // Time for which a finding is kept, as in the table.
    constexpr Milliseconds lifetime = PoisonTableOptions {}.refusedLifetime;
    constexpr std::size_t maxPublished = 512;
    // Hosts take turns for the probation of a subject, in their order for it, so that each has heard of the runs at
    // those before it.
    constexpr Milliseconds probationTurn { 2000 };
    constexpr Milliseconds cleanUpInterval { 60'000 };

}

PoisonSync::PoisonSync(Asio::io_context& context, PlatformClient& store, StoreCallCounter& calls,
    const ServingView& view, PoisonTable& poison, HostId self)
    : m_context(context)
    , m_store(store)
    , m_calls(calls)
    , m_view(view)
    , m_poison(poison)
    , m_self(std::move(self))
    , m_ownKey(std::string(poisonPrefix) + m_self.value())
{
}

void PoisonSync::start()
{
    Asio::co_spawn(m_context, cleanUp(), Asio::detached);
}

void PoisonSync::publish(const std::vector<Fingerprint>& fingerprints)
{
    if (fingerprints.empty())
        return;
    const TimePoint now = RuntimeClock::now();
    removeExpired(now);
    for (const Fingerprint fingerprint : fingerprints)
        m_published[fingerprint] = now + lifetime;
    while (m_published.size() > maxPublished) {
        // The fewer crashes count against a subject, the less its evidence matters to the other hosts.
        const auto rankOf = [&](const auto& entry) {
            return std::pair(m_poison.crashCount(entry.first, now), entry.second);
        };
        m_published.erase(std::min_element(m_published.begin(), m_published.end(),
            [&](const auto& left, const auto& right) { return rankOf(left) < rankOf(right); }));
    }
    scheduleWrite();
    reportChanges("this host", 0);
}

std::optional<std::size_t> PoisonSync::rankFor(const std::string& key) const
{
    const std::vector<HostId> ranked = rankHosts(key, m_view.hostIds());
    const auto self = std::find(ranked.begin(), ranked.end(), m_self);
    if (self == ranked.end())
        return std::nullopt;
    return static_cast<std::size_t>(self - ranked.begin());
}

bool PoisonSync::tryStartProbation(const std::vector<PoisonSubject>& refused)
{
    const TimePoint now = RuntimeClock::now();
    // Most requests end here, so that the hosts are not ranked for each of them.
    if (!m_poison.canStartProbation(refused, now))
        return false;
    const std::optional<std::size_t> rank = rankFor(toText(refused.front().fingerprint));
    if (!rank || !m_poison.canStartProbation(refused, now - *rank * probationTurn))
        return false;
    m_poison.startProbation(refused, now);
    std::vector<Fingerprint> fingerprints;
    for (const PoisonSubject& subject : refused) {
        fingerprints.push_back(subject.fingerprint);
        writeLog(LogLevel::Info, "probation_started",
            { { "identity", toText(subject.fingerprint) }, { "part", subject.part },
                { "crashes", m_poison.crashCount(subject.fingerprint, now) } });
    }
    publish(fingerprints);
    return true;
}

void PoisonSync::removeExpired(TimePoint now)
{
    std::erase_if(m_published, [now](const auto& entry) { return entry.second <= now; });
}

void PoisonSync::applyList(const PlatformList& list)
{
    m_objects.clear();
    for (const PlatformObject& object : list.objects)
        applyObject(object);
    m_isListed = true;
    // A store that came back from an older copy may have lost what this host wrote.
    if (!m_published.empty())
        scheduleWrite();
}

void PoisonSync::applyEvent(const PlatformEvent& event)
{
    if (event.value)
        applyObject({ event.key, event.version, *event.value });
    else
        m_objects.erase(event.key);
}

void PoisonSync::applyObject(const PlatformObject& object)
{
    const TimePoint now = RuntimeClock::now();
    m_objects[object.key] = { object.version, now };
    std::vector<PoisonNotice> notices;
    try {
        notices = readPoisonNotices(object.value, lifetime);
    } catch (const std::exception& error) {
        writeLog(LogLevel::Warning, "poison_object_ignored",
            { { "key", object.key }, { "reason", error.what() } });
        return;
    }
    if (object.key == m_ownKey) {
        for (const PoisonNotice& notice : notices)
            m_published.try_emplace(notice.fingerprint, now + lifetime);
    }
    m_poison.apply(notices, now);
    reportChanges(object.key, object.version);
}

void PoisonSync::reportChanges(const std::string& source, ObjectVersion revision)
{
    const std::vector<PoisonChange> changes = m_poison.drainChanges();
    for (const PoisonChange& change : changes) {
        writeLog(change.state == PoisonState::Refused ? LogLevel::Warning : LogLevel::Info, "poison_state_changed",
            { { "identity", toText(change.subject.fingerprint) }, { "part", change.subject.part },
                { "state", poisonStateName(change.state) }, { "crashes", change.crashes }, { "source", source },
                { "revision", revision } });
    }
    if (!changes.empty() && m_changeHandler)
        m_changeHandler();
}

void PoisonSync::scheduleWrite()
{
    m_mustWrite = true;
    if (m_isWriting)
        return;
    m_isWriting = true;
    Asio::co_spawn(m_context, writeUntilStored(), Asio::detached);
}

Asio::awaitable<void> PoisonSync::writeUntilStored()
{
    const auto executor = m_context.get_executor();
    const Duration sinceLastWrite = RuntimeClock::now() - m_writtenAt;
    Duration delay = std::max<Duration>(gatherDelay, minWriteInterval - sinceLastWrite);
    while (m_mustWrite) {
        co_await sleepFor(executor, std::chrono::ceil<Milliseconds>(delay));
        delay = minWriteInterval;
        if (!m_isListed)
            continue;
        m_mustWrite = false;
        m_writtenAt = RuntimeClock::now();
        const bool isStored = co_await writeOnce();
        m_mustWrite = m_mustWrite || !isStored;
        if (!isStored)
            delay = retryDelay;
    }
    m_isWriting = false;
}

std::vector<PoisonNotice> PoisonSync::ownNotices() const
{
    const TimePoint now = RuntimeClock::now();
    std::vector<PoisonNotice> notices;
    for (const auto& [fingerprint, expiresAt] : m_published) {
        if (auto notice = m_poison.noticeOf(fingerprint, now))
            notices.push_back(std::move(*notice));
    }
    return notices;
}

Asio::awaitable<bool> PoisonSync::writeOnce()
{
    std::string reason;
    std::string key = m_ownKey;
    boost::json::value value = toJson(ownNotices());
    WriteResult result;
    m_calls.record(m_ownKey, "findings");
    try {
        if (m_published.empty())
            result = co_await m_store.remove(std::move(key), std::nullopt);
        else
            result = co_await m_store.put(std::move(key), std::move(value), std::nullopt);
        // An object that is gone already needs no removal.
        if (std::holds_alternative<WriteStored>(result)
            || (m_published.empty() && std::holds_alternative<WriteConflict>(result)))
            co_return true;
        reason = "the outcome of the write is not known";
    } catch (const PlatformUnavailable& error) {
        reason = error.what();
    }
    writeLog(LogLevel::Warning, "poison_write_failed",
        { { "reason", reason }, { "subjects", m_published.size() } });
    co_return false;
}

Asio::awaitable<void> PoisonSync::cleanUp()
{
    while (true) {
        co_await sleepFor(m_context.get_executor(), cleanUpInterval);
        const std::size_t published = m_published.size();
        removeExpired(RuntimeClock::now());
        if (m_published.size() < published)
            scheduleWrite();
        co_await removeAbandoned();
    }
}

Asio::awaitable<void> PoisonSync::removeAbandoned()
{
    // Their writers have had the time to remove them.
    const TimePoint changedBefore = RuntimeClock::now() - 2 * lifetime;
    std::vector<std::pair<std::string, ObjectVersion>> abandoned;
    for (const auto& [key, object] : m_objects) {
        if (key != m_ownKey && object.changedAt < changedBefore && rankFor(key) == 0U)
            abandoned.emplace_back(key, object.version);
    }
    for (const auto& [key, version] : abandoned) {
        m_calls.record(key, "cleanup");
        try {
            co_await m_store.remove(key, version);
        } catch (const PlatformUnavailable& error) {
            writeLog(LogLevel::Info, "poison_write_failed", { { "reason", error.what() } });
        }
    }
}

}
