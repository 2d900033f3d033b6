#include "gateway/refusals.h"

#include <array>
#include <cstdio>

namespace Apricot {

std::string_view refusalName(GatewayRefusal reason)
{
    switch (reason) {
    case GatewayRefusal::NotReady:
        return "not_ready";
    case GatewayRefusal::OutdatedConfig:
        return "outdated_config";
    case GatewayRefusal::Overloaded:
        return "overloaded";
    case GatewayRefusal::NoServer:
        return "no_server";
    case GatewayRefusal::OutOfTime:
        return "out_of_time";
    case GatewayRefusal::Limited:
        return "limited";
    case GatewayRefusal::Resting:
        return "resting";
    case GatewayRefusal::Poisoned:
        return "poisoned";
    case GatewayRefusal::UnknownOrigin:
        return "unknown_origin";
    case GatewayRefusal::VersionUnavailable:
        return "version_unavailable";
    case GatewayRefusal::UnknownRoute:
        return "unknown_route";
    case GatewayRefusal::TooManyPieces:
        return "too_many_pieces";
    case GatewayRefusal::UnknownKey:
        return "unknown_key";
    case GatewayRefusal::ServerFailed:
        return "server_failed";
    case GatewayRefusal::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

int refusalStatus(GatewayRefusal reason)
{
    switch (reason) {
    case GatewayRefusal::NotReady:
    case GatewayRefusal::OutdatedConfig:
    case GatewayRefusal::Overloaded:
    case GatewayRefusal::NoServer:
    case GatewayRefusal::OutOfTime:
    case GatewayRefusal::Limited:
    case GatewayRefusal::Resting:
    case GatewayRefusal::Poisoned:
    case GatewayRefusal::UnknownOrigin:
    case GatewayRefusal::VersionUnavailable:
        return 503;
    case GatewayRefusal::UnknownRoute:
        return 404;
    case GatewayRefusal::TooManyPieces:
        return 400;
    case GatewayRefusal::UnknownKey:
        return 401;
    case GatewayRefusal::ServerFailed:
        return 502;
    case GatewayRefusal::TimedOut:
        return 504;
    }
    return 500;
}

boost::asio::awaitable<void> refuse(
    HttpExchange& exchange, GatewayRefusal reason, std::optional<Milliseconds> retryAfter)
{
    constexpr double millisecondsPerSecond = 1000;
    std::vector<HttpField> fields;
    if (retryAfter) {
        std::array<char, 32> seconds {};
        std::snprintf(seconds.data(), seconds.size(), "%.3f",
            static_cast<double>(retryAfter->count()) / millisecondsPerSecond);
        fields.push_back({ "Retry-After", seconds.data() });
    }
    std::string body = R"({"refusal":{"reason":")" + std::string(refusalName(reason)) + "\"}}";
    co_await exchange.respond(
        refusalStatus(reason), "application/json", std::move(body), std::move(fields));
}

}
