#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace Apricot {

// Runs a coroutine on a context that nothing else uses, to its end, and returns or throws what it
// did.
template <typename Result>
Result runBlocking(boost::asio::io_context& context, boost::asio::awaitable<Result> coroutine)
{
    std::optional<Result> result;
    std::exception_ptr failure;
    boost::asio::co_spawn(
        context, std::move(coroutine), [&](std::exception_ptr error, Result value) {
            failure = std::move(error);
            result = std::move(value);
            context.stop();
        });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
    return std::move(*result);
}

}
