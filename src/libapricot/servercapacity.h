#pragma once

#include <compare>
#include <cstdint>
#include <variant>

namespace Apricot {

struct ServerCapacityOptions {
    // Most requests in flight during a cold start, and once warm.
    int coldCap = 1;
    int warmCap = 8;
    // Requests that a server must have finished since its cold start before the cap grows.
    int requestsToWarm = 16;

    auto operator<=>(const ServerCapacityOptions&) const = default;
};

// Before the server has finished enough work. The cap is below the cold cap after a refusal.
struct ColdStart {
    int cap = 1;
    int finished = 0;

    auto operator<=>(const ColdStart&) const = default;
};

// After it: the cap grows by one each time the server has finished as many requests as the cap.
struct WarmRamp {
    int cap = 1;
    int finishedAtCap = 0;

    auto operator<=>(const WarmRamp&) const = default;
};

// How many requests a backend server may carry, judged only by work that it finished. Time and load
// reports never raise the cap, because a server can fall back into a cold start without warning.
class ServerCapacity {
public:
    explicit ServerCapacity(ServerCapacityOptions options);

    int cap() const;
    bool isCold() const { return std::holds_alternative<ColdStart>(m_state); }
    // Number of times that the server began a cold start. Work that began before the last of them
    // must not be reported as finished.
    std::uint64_t coldStarts() const { return m_coldStarts; }

    void onFinished();
    // The server refused a request while it carried so many others.
    void onRefused(int inFlight);
    // The server began a cold start, or may have.
    void resetToCold();
    // Takes over new bounds from the catalogue; the cap only shrinks by this.
    void setOptions(ServerCapacityOptions options);
    // Continues from the cap that another home reached, for a server that is still the same process.
    void inheritCap(int cap);

private:
    ServerCapacityOptions m_options;
    std::variant<ColdStart, WarmRamp> m_state;
    std::uint64_t m_coldStarts = 0;
};

}
