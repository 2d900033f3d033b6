#include "ctl/poisoncommands.h"

#include "libserving/poisonobject.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <algorithm>
#include <set>

namespace Apricot {

namespace {

    constexpr std::string_view operatorsObject = "operators";

    // What all hosts and operators have stored, merged as the hosts do.
    struct StoredFindings {
        PoisonTable table;
        std::set<Fingerprint> fingerprints;
        std::vector<std::string> unreadableKeys;
    };

    StoredFindings readFindings(PlatformStore& store)
    {
        StoredFindings findings;
        const TimePoint now = RuntimeClock::now();
        for (const PlatformObject& object : store.list(std::string(poisonPrefix))) {
            try {
                const std::vector<PoisonNotice> notices
                    = readPoisonNotices(object.value, PoisonTableOptions {}.refusedLifetime);
                findings.table.apply(notices, now);
                for (const PoisonNotice& notice : notices)
                    findings.fingerprints.insert(notice.fingerprint);
            } catch (const std::exception&) {
                findings.unreadableKeys.push_back(object.key);
            }
        }
        return findings;
    }

    Fingerprint parseIdentity(const std::string& text)
    {
        const std::optional<Fingerprint> fingerprint = parseFingerprint(text);
        if (!fingerprint)
            throw CommandError(
                ExitCode::Invalid, "IDENTITY must be 16 hexadecimal digits, got: " + text);
        return *fingerprint;
    }

}

CommandResult runPoisoned(const CommandContext& context)
{
    PlatformStore store = context.store();
    const StoredFindings findings = readFindings(store);
    const TimePoint now = RuntimeClock::now();
    CommandResult result;
    boost::json::array requests;
    for (const Fingerprint fingerprint : findings.fingerprints) {
        const auto notice = findings.table.noticeOf(fingerprint, now);
        if (!notice)
            continue;
        const std::string state(poisonStateName(findings.table.stateOf(fingerprint, now)));
        boost::json::object entry { { "identity", toText(fingerprint) }, { "state", state },
            { "crashes", toJson(notice->crashes) }, { "cleared", toJson(notice->cleared) } };
        result.text += toText(fingerprint) + "  " + state;
        if (!notice->part.empty()) {
            entry["part"] = notice->part;
            result.text += "  part " + notice->part;
        }
        requests.push_back(std::move(entry));
        for (const ServerCrash& crash : notice->crashes)
            result.text += "  " + crash.server.value();
        result.text += "\n";
    }
    boost::json::array unreadable;
    for (const std::string& key : findings.unreadableKeys) {
        unreadable.emplace_back(key);
        result.text += key + ": not readable\n";
    }
    if (result.text.empty())
        result.text = "no request and no part of a prompt has crashed a server\n";
    result.json = { { "requests", std::move(requests) }, { "unreadable", std::move(unreadable) } };
    return result;
}

CommandResult runPoisonedClear(const CommandContext& context)
{
    const Fingerprint fingerprint = parseIdentity(context.arguments.at(0));
    PlatformStore store = context.store();
    const TimePoint now = RuntimeClock::now();
    const StoredFindings findings = readFindings(store);
    const auto notice = findings.table.noticeOf(fingerprint, now);
    if (!notice || notice->crashes.empty())
        throw CommandError(
            ExitCode::NotFound, "no crash counts against " + context.arguments.at(0));
    const std::string key = std::string(poisonPrefix) + std::string(operatorsObject);
    const std::optional<PlatformObject> current = store.get(key);
    std::vector<PoisonNotice> notices = current
        ? readPoisonNotices(current->value, PoisonTableOptions {}.refusedLifetime)
        : std::vector<PoisonNotice>();
    notices.push_back({ .fingerprint = fingerprint, .cleared = notice->crashes, .part = notice->part });
    const ObjectVersion version
        = store.put(key, toJson(notices), current ? current->version : 0);
    return { .json = { { "identity", toText(fingerprint) },
                 { "cleared", toJson(notice->crashes) }, { "version", version } },
        .text = toText(fingerprint) + ": " + std::to_string(notice->crashes.size())
            + " crashes cleared, version " + std::to_string(version) + "\n" };
}

}
