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
            co_await updateView();
        } catch (const std::exception&) {
            hasFailed = true;
        }
        if (hasFailed)
            co_await sleepFor(m_context.get_executor(), m_options.retryInterval);
    }
}

asio::awaitable<void> ControlFollower::updateView()
{
    const std::shared_ptr<const ControlView> previous = view();
    Message request = ViewRequestMessage { .revisions = prefixRevisions(m_config),
        .catalogueVersion = previous->catalogue->version,
        .epoch = previous->epoch,
        .wait = m_options.wait };
    const TimePoint requestedAt = RuntimeClock::now();
    const Message response
        = co_await m_peers.call(m_options.dispatch, std::move(request), m_options.timeout);
    const auto* current = std::get_if<ViewResponseMessage>(&response);
    if (!current)
        throw std::runtime_error(
            "dispatch daemon sent an unexpected message, expected ViewResponseMessage");
    applyResponse(*current, requestedAt);
}

void ControlFollower::applyResponse(const ViewResponseMessage& response, TimePoint requestedAt)
{
    for (const ConfigDelta& delta : response.deltas)
        m_config.apply(delta);
    const std::shared_ptr<const ControlView> previous = view();
    auto updated = std::make_shared<ControlView>(*previous);
    updated->incarnation = response.self.incarnation;
    updated->catalogue = m_config.catalogue();
    if (response.epoch > previous->epoch && !response.newerState.empty()) {
        updated->cell = std::make_shared<CellState>(response.newerState.front());
        updated->epoch = response.epoch;
    }
    updated->acknowledgedEpoch = std::max(previous->acknowledgedEpoch, response.acknowledgedEpoch);
    // A daemon whose epoch is older than the one that this process already has can't permit new work.
    updated->permittedUntil
        = response.epoch >= previous->epoch ? requestedAt + response.permittedFor
                                            : previous->permittedUntil;
    const std::lock_guard<std::mutex> lock(m_viewMutex);
    m_view = std::move(updated);
}

}
