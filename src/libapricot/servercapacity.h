#pragma once

#include <compare>
#include <cstdint>
#include <variant>

namespace Apricot {

struct ServerCapacityOptions {
    // Maximum number of requests in flight during a cold start, and once warm.
    int coldCap = 1;
    int warmCap = 8;
    // Number of requests that a server must finish after a cold start before the cap may exceed the
    // cold cap.
    int requestsToWarm = 16;

    auto operator<=>(const ServerCapacityOptions&) const = default;
};

// State until the server has finished enough requests. The cap is below the cold cap after a
// refusal.
struct ColdStart {
    int cap = 1;
    int finished = 0;

    auto operator<=>(const ColdStart&) const = default;
};

// State after the cold start. The cap grows by one each time the server has finished as many
// requests as the cap.
struct WarmRamp {
    int cap = 1;
    int finishedAtCap = 0;

    auto operator<=>(const WarmRamp&) const = default;
};

// Maximum number of requests in flight on a backend server, raised only by finished work. Elapsed
// time and load reports never raise the cap, because a server can become cold again without
// warning.
class ServerCapacity {
public:
    explicit ServerCapacity(ServerCapacityOptions options);

    int cap() const;
    bool isCold() const { return std::holds_alternative<ColdStart>(m_state); }
    // Number of cold starts. Work that began before the last cold start must not be reported as
    // finished.
    std::uint64_t coldStarts() const { return m_coldStarts; }

    void onFinished();
    // The server refused a request while it had `inFlight` others.
    void onRefused(int inFlight);
    // The server began a cold start, or may have begun one.
    void resetToCold();
    // Applies new limits from the catalogue. This can only lower the cap.
    void setOptions(ServerCapacityOptions options);
    // Continues with the cap that another home reached, for a server that is still the same
    // process.
    void inheritCap(int cap);

private:
    ServerCapacityOptions m_options;
    std::variant<ColdStart, WarmRamp> m_state;
    std::uint64_t m_coldStarts = 0;
};

}
