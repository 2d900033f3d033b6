#include "dispatch/dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace Apricot {

namespace Asio = boost::asio;

namespace {

    template <typename... Functions>
    struct Overloaded : Functions... {
        using Functions::operator()...;
    };
    template <typename... Functions>
    Overloaded(Functions...) -> Overloaded<Functions...>;

}

Dispatcher::Dispatcher(DispatchServices services)
    : m_services(services)
{
}

Asio::awaitable<void> Dispatcher::serve(std::shared_ptr<PeerStream> stream)
{
    std::optional<Message> first = co_await stream->read();
    if (!first)
        co_return;
    const auto serveByType = Overloaded {
        [&](SubmitMessage& message) {
            return m_services.coordinator.serve(stream, std::move(message));
        },
        [&](RelayedSubmitMessage& message) {
            return m_services.coordinator.serve(stream, std::move(message));
        },
        [&](PoisonMessage& message) {
            return m_services.coordinator.serve(stream, message);
        },
        [&](StageCallMessage& message) {
            return m_services.homes.serve(stream, std::move(message));
        },
        [&](ReleaseHomeMessage& message) {
            return m_services.homes.serveRelease(stream, std::move(message));
        },
        [&](StoreCopyMessage& message) {
            return m_services.recordService.serve(stream, std::move(message));
        },
        [&](ClaimMessage& message) {
            return m_services.claims.serve(stream, std::move(message));
        },
        [&](ShareRequestMessage& message) {
            return m_services.limits.serve(stream, std::move(message));
        },
        [&](auto& /*other*/) { return respondToControl(stream, std::move(*first)); },
    };
    co_await std::visit(serveByType, *first);
}

Asio::awaitable<void> Dispatcher::respondToControl(
    std::shared_ptr<PeerStream> stream, Message request)
{
    auto work = [this, message = std::move(request)]() mutable {
        return m_services.controlPlane.respondTo(std::move(message));
    };
    std::optional<Message> response
        = co_await Asio::co_spawn(m_services.controlContext, std::move(work), Asio::use_awaitable);
    if (!response)
        throw MessageError("no service handles the first message of this stream");
    co_await stream->write(std::move(*response));
}

}
