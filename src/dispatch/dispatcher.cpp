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
    const auto choose = Overloaded {
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
            return m_services.records.serve(stream, std::move(message));
        },
        [&](ClaimMessage& message) {
            return m_services.claims.serve(stream, std::move(message));
        },
        [&](ShareRequestMessage& message) {
            return m_services.limits.serve(stream, std::move(message));
        },
        [&](auto& /*other*/) { return answerControl(stream, std::move(*first)); },
    };
    co_await std::visit(choose, *first);
}

Asio::awaitable<void> Dispatcher::answerControl(
    std::shared_ptr<PeerStream> stream, Message question)
{
    auto work = [this, asked = std::move(question)]() mutable {
        return m_services.controlPlane.answer(std::move(asked));
    };
    std::optional<Message> answer
        = co_await Asio::co_spawn(m_services.control, std::move(work), Asio::use_awaitable);
    if (!answer)
        throw MessageError("no service takes this message");
    co_await stream->write(std::move(*answer));
}

}
