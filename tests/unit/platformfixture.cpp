#include "platformfixture.h"

#include <boost/asio/co_spawn.hpp>

#include <exception>

using namespace Apricot;
namespace asio = boost::asio;

void PlatformFixture::runToEnd(std::function<asio::awaitable<void>()> body)
{
    std::exception_ptr failure;
    asio::co_spawn(context, std::move(body), [&](std::exception_ptr error) {
        failure = error;
        context.stop();
    });
    context.run();
    if (failure)
        std::rethrow_exception(failure);
}

asio::awaitable<void> PlatformFixture::setFaults(std::string faults)
{
    HttpClient http(context, { .port = platform.port() });
    HttpCall call { .method = "POST", .target = "/faults", .body = std::move(faults) };
    co_await http.send(std::move(call));
}
