#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <optional>
#include <utility>

namespace Apricot {

// Runs a coroutine to completion on a context that nothing else uses. Returns its result or rethrows
// its exception.
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
