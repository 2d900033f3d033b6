#include "libnet/readrejection.h"

#include <string_view>

namespace Apricot {

namespace {

    constexpr int statusBadRequest = 400;
    constexpr int statusTimeout = 408;
    constexpr int statusBodyTooLarge = 413;
    constexpr int statusHeaderTooLarge = 431;
    constexpr int statusUnavailable = 503;
    constexpr const char* retryAfterSeconds = "1";
    constexpr const char* retryAfterMilliseconds = "1000";

    std::string bodyOf(std::string_view reason, std::string_view retryAfter, std::string_view detail)
    {
        std::string body = R"({"refusal":{"reason":")";
        body.append(reason).append(R"(","ran":"no","retry_after_ms":)").append(retryAfter);
        body.append(R"(,"detail":")").append(detail).append("\"}}");
        return body;
    }

    ReadRejection finalRejection(int status, std::string_view detail)
    {
        return { status, bodyOf("malformed_request", "0", detail), {} };
    }

}

ReadRejection rejectionFor(RequestReadEnd end)
{
    switch (end) {
    case RequestReadEnd::HeaderTooLarge:
        return finalRejection(statusHeaderTooLarge, "request header or framing is too large");
    case RequestReadEnd::BodyTooLarge:
        return finalRejection(statusBodyTooLarge, "request body is too large");
    case RequestReadEnd::TooSlow:
        return finalRejection(statusTimeout, "request was not received in time");
    case RequestReadEnd::NoMemory:
        return { statusUnavailable, bodyOf("overloaded", retryAfterMilliseconds, "no memory for the request"),
            { { "Retry-After", retryAfterSeconds } } };
    default:
        return finalRejection(statusBadRequest, "request is malformed");
    }
}

}
