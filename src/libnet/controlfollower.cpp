#include "libnet/controlfollower.h"

#include "libnet/asyncevent.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace asio = boost::asio;

ControlFollower::ControlFollower(asio::io_context& context, ControlFollowerOptions options)
    : m_context(context)
    , m_options(std::move(options))
    , m_peers(context)
    , m_view(std::make_shared<ControlView>(ControlView { .self = m_options.host,
          .failureDomain = m_options.failureDomain,
          .catalogue = std::make_shared<Catalogue>(),
          .cell = std::make_shared<CellState>() }))
{
}

void ControlFollower::start()
{
    asio::co_spawn(m_context, follow(), asio::detached);
}

std::shared_ptr<const ControlView> ControlFollower::view() const
{
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    return m_view;
}

boost::json::value ControlFollower::dump() const
{
    const std::shared_ptr<const ControlView> current = view();
    boost::json::object value { { "epoch", current->epoch },
        { "catalogue_version", current->catalogue->version },
        { "members", current->cell->members.size() },
        { "permission_ms", millisecondsBetween(RuntimeClock::now(), current->permittedUntil) } };
    return value;
}

asio::awaitable<void> ControlFollower::follow()
{
    while (true) {
        bool hasFailed = false;
        try {
            co_await askOnce();
        } catch (const std::exception&) {
            hasFailed = true;
        }
        if (hasFailed)
            co_await sleepFor(m_context.get_executor(), m_options.retryInterval);
    }
}

asio::awaitable<void> ControlFollower::askOnce()
{
    const std::shared_ptr<const ControlView> before = view();
    Message question = ViewRequestMessage { .revisions = prefixRevisions(m_config),
        .catalogueVersion = before->catalogue->version,
        .epoch = before->epoch,
        .wait = m_options.wait };
    const TimePoint askedAt = RuntimeClock::now();
    const Message answer
        = co_await m_peers.call(m_options.dispatch, std::move(question), m_options.timeout);
    const auto* current = std::get_if<ViewResponseMessage>(&answer);
    if (!current)
        throw std::runtime_error("the dispatch daemon gave another answer");
    take(*current, askedAt);
}

void ControlFollower::take(const ViewResponseMessage& answer, TimePoint askedAt)
{
    for (const ConfigDelta& delta : answer.deltas)
        m_config.apply(delta);
    const std::shared_ptr<const ControlView> before = view();
    auto after = std::make_shared<ControlView>(*before);
    after->incarnation = answer.self.incarnation;
    after->catalogue = m_config.catalogue();
    if (answer.epoch > before->epoch && !answer.newerState.empty()) {
        after->cell = std::make_shared<CellState>(answer.newerState.front());
        after->epoch = answer.epoch;
    }
    after->acknowledgedEpoch = std::max(before->acknowledgedEpoch, answer.acknowledgedEpoch);
    // A daemon that knows less than this process did before can't permit new work.
    after->permittedUntil
        = answer.epoch >= before->epoch ? askedAt + answer.permittedFor : before->permittedUntil;
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    m_view = std::move(after);
}

}
