#include "property.h"

#include "libapricot/ownerlimiter.h"
#include "libapricot/shareledger.h"

#include <algorithm>
#include <list>
#include <memory>
#include <numeric>
#include <variant>

using namespace Apricot;

namespace {

constexpr OwnerLimits limits { .requestsPerSecond = 80, .requestsInFlight = 48, .tokensPerSecond = 8000 };
constexpr Milliseconds tickInterval { 100 };
constexpr Milliseconds removalTimeout { 3000 };
constexpr std::size_t hostCount = 5;
constexpr std::uint64_t oldCellRenewals = 100;
// Each step of the simulation counts one turn for each running host.
constexpr int turnsBetweenRenewals = 50;
const OwnerId owner("meals");

// A fault of one host, or its end.
enum class Fault {
    None,
    Kill,
    Freeze,
    Thaw,
    Cut,
    // The host can reach its peers but receives no cell updates.
    Detach,
    Heal,
};

struct Host {
    HostId id;
    int startCount = 0;
    bool isAlive = false;
    bool isFrozen = false;
    bool isCutOff = false;
    bool isDetached = false;
    std::shared_ptr<ControlView> view;
    std::unique_ptr<OwnerLimiter> limiter;
    std::unique_ptr<ShareLedger> ledger;
    std::vector<TimePoint> requestEndTimes;
    TimePoint lastReachableAt {};
};

struct Delivery {
    TimePoint at;
    std::size_t to = 0;
    std::variant<ShareRequest, ShareResponse> message;
    std::size_t from = 0;
};

// Simulates the hosts of one cell, each with a limiter and a ledger, and delayed messages between them.
class FleetSimulation {
public:
    explicit FleetSimulation(OwnerShareOptions ledgerOptions, bool isNewCell = true)
        : m_ledgerOptions(ledgerOptions)
        , m_hosts(hostCount)
    {
        for (std::size_t index = 0; index < hostCount; ++index) {
            m_hosts[index].id = HostId("host-" + std::to_string(index));
            startHost(m_hosts[index]);
        }
        if (!isNewCell)
            m_cell.renewals = oldCellRenewals;
    }

    void apply(Fault fault, std::size_t index)
    {
        Host& host = m_hosts.at(index % hostCount);
        switch (fault) {
        case Fault::None:
            break;
        case Fault::Kill:
            host.isAlive = false;
            host.isFrozen = false;
            host.requestEndTimes.clear();
            break;
        case Fault::Freeze:
            host.isFrozen = host.isAlive;
            break;
        case Fault::Thaw:
            host.isFrozen = false;
            break;
        case Fault::Cut:
            host.isCutOff = true;
            break;
        case Fault::Detach:
            host.isDetached = true;
            break;
        case Fault::Heal:
            host.isCutOff = false;
            host.isDetached = false;
            if (!host.isAlive)
                startHost(host);
            break;
        }
    }

    void step(std::size_t seed)
    {
        RuntimeClock::advance(tickInterval);
        updateCell();
        deliverDueMessages();
        for (std::size_t index = 0; index < m_hosts.size(); ++index) {
            if (m_hosts[index].isAlive && !m_hosts[index].isFrozen)
                runHost(index, seed);
        }
    }

    OwnerShare totalShare() const
    {
        const TimePoint now = RuntimeClock::now();
        OwnerShare total;
        for (const Host& host : m_hosts) {
            if (!host.isAlive)
                continue;
            const OwnerShare share = host.limiter->currentShare(owner, now);
            total.requestsPerSecond += share.requestsPerSecond;
            total.tokensPerSecond += share.tokensPerSecond;
            // The requests of a frozen host end too, although it records that only after it thaws.
            total.requestsInFlight += static_cast<int>(std::count_if(host.requestEndTimes.begin(),
                host.requestEndTimes.end(), [now](TimePoint end) { return now < end; }));
        }
        return total;
    }

    std::size_t homeIndex() const
    {
        const HostId home = ownerHome(owner, m_cell);
        const auto found = std::find_if(m_hosts.begin(), m_hosts.end(),
            [&home](const Host& host) { return host.id == home; });
        return static_cast<std::size_t>(found - m_hosts.begin()) % hostCount;
    }

private:
    void startHost(Host& host)
    {
        host.isAlive = true;
        ++host.startCount;
        host.view = std::make_shared<ControlView>();
        host.view->self = host.id;
        host.view->incarnation = host.id.value() + "/" + std::to_string(host.startCount);
        host.view->cell = std::make_shared<CellState>(m_cell);
        host.limiter = std::make_unique<OwnerLimiter>();
        host.ledger = std::make_unique<ShareLedger>(m_ledgerOptions);
        host.lastReachableAt = RuntimeClock::now();
    }

    static bool isReachable(const Host& host) { return host.isAlive && !host.isFrozen && !host.isCutOff; }

    void updateCell()
    {
        const TimePoint now = RuntimeClock::now();
        CellState next = m_cell;
        for (Host& host : m_hosts) {
            if (isReachable(host))
                host.lastReachableAt = now;
            std::erase_if(next.members, [&](const Member& member) {
                return member.host == host.id
                    && (now - host.lastReachableAt > removalTimeout
                        || (host.isAlive && member.incarnation != host.view->incarnation));
            });
            if (isReachable(host) && next.findMember(host.id) == nullptr)
                next.members.push_back({ .host = host.id, .incarnation = host.view->incarnation });
        }
        if (next != m_cell)
            m_cell = next;
        m_cell.renewals += m_turn % turnsBetweenRenewals == 0 ? 1 : 0;
        for (Host& host : m_hosts) {
            if (!isReachable(host) || host.isDetached)
                continue;
            host.view->cell = std::make_shared<CellState>(m_cell);
            host.view->permittedUntil = now + OwnerShareOptions {}.evidence;
        }
    }

    void deliverDueMessages()
    {
        const TimePoint now = RuntimeClock::now();
        for (auto delivery = m_deliveries.begin(); delivery != m_deliveries.end();) {
            Host& to = m_hosts.at(delivery->to);
            if (now < delivery->at || (to.isAlive && to.isFrozen)) {
                ++delivery;
                continue;
            }
            if (to.isAlive && !to.isCutOff && !m_hosts.at(delivery->from).isCutOff)
                std::visit([&](const auto& message) { receive(*delivery, message); },
                    delivery->message);
            delivery = m_deliveries.erase(delivery);
        }
    }

    void receive(const Delivery& delivery, const ShareRequest& request)
    {
        Host& home = m_hosts.at(delivery.to);
        m_deliveries.push_back({ .at = RuntimeClock::now() + tickInterval,
            .to = delivery.from,
            .message = home.ledger->respondTo(request, *home.view, RuntimeClock::now()),
            .from = delivery.to });
    }

    void receive(const Delivery& delivery, const ShareResponse& response)
    {
        m_hosts.at(delivery.to).limiter->applyResponse(response, RuntimeClock::now());
    }

    void runHost(std::size_t index, std::size_t seed)
    {
        Host& host = m_hosts[index];
        const TimePoint now = RuntimeClock::now();
        host.ledger->observe(*host.view, now);
        std::erase_if(host.requestEndTimes, [&](TimePoint end) {
            if (now >= end)
                host.limiter->onRequestFinished(owner, 60, now);
            return now >= end;
        });
        // The high demand moves from host to host.
        const auto demand = (seed + static_cast<std::size_t>(m_turn++) / 100) % hostCount == index ? 12 : 2;
        for (int request = 0; host.view->permits(now) && request < demand; ++request) {
            if (!host.limiter->admit(owner, limits, 60, now))
                host.requestEndTimes.push_back(now + Milliseconds(500 + 700 * (m_turn % 12)));
        }
        if (m_turn % 3 != 0)
            return;
        for (auto& [home, request] : host.limiter->shareRequests(*host.view, now)) {
            const auto number = static_cast<std::size_t>(std::stoi(home.value().substr(5)));
            m_deliveries.push_back({ .at = now + tickInterval * (m_turn % 5),
                .to = number,
                .message = request,
                .from = index });
        }
    }

    OwnerShareOptions m_ledgerOptions;
    std::vector<Host> m_hosts;
    CellState m_cell;
    std::list<Delivery> m_deliveries;
    int m_turn = 0;
};

void checkWithinLimits(const FleetSimulation& fleet)
{
    const OwnerShare total = fleet.totalShare();
    RC_ASSERT(total.requestsPerSecond <= limits.requestsPerSecond + 1e-6);
    RC_ASSERT(total.tokensPerSecond <= limits.tokensPerSecond + 1e-6);
    RC_ASSERT(total.requestsInFlight <= limits.requestsInFlight);
}

// Simulates 60 seconds with faults at random times. The owner's home is hit more often than others.
void runWithFaults(const OwnerShareOptions& ledgerOptions)
{
    const bool isNewCell = *rc::gen::arbitrary<bool>();
    FleetSimulation fleet(ledgerOptions, isNewCell);
    const std::size_t seed = *rc::gen::inRange<std::size_t>(0, hostCount);
    int stepsToNextFault = isNewCell ? *rc::gen::inRange(0, 150) : 250;
    for (int step = 0; step < 600; ++step) {
        if (stepsToNextFault-- <= 0) {
            const auto fault = static_cast<Fault>(*rc::gen::inRange(0, 7));
            const auto victim = *rc::gen::inRange<std::size_t>(0, 2 * hostCount);
            fleet.apply(fault, victim < hostCount ? victim : fleet.homeIndex());
            stepsToNextFault = *rc::gen::inRange(0, 60);
        }
        fleet.step(seed);
        checkWithinLimits(fleet);
    }
}

}

TEST_GROUP(OwnerLimit) {
    void setup() override { RuntimeClock::pause();
}
void teardown() override { RuntimeClock::resume(); }
}
;

TEST(OwnerLimit, sharesStayWithinTheLimitsUnderFaults)
{
    checkProperty("granted shares plus the reserve stay within the limits", [] { runWithFaults({}); });
}

TEST(OwnerLimit, sharesApproachTheLimitsWithoutFaults)
{
    FleetSimulation fleet({});
    for (int step = 0; step < 300; ++step)
        fleet.step(0);
    const OwnerShare total = fleet.totalShare();
    CHECK_TRUE(total.requestsPerSecond > 0.8 * limits.requestsPerSecond);
    CHECK_TRUE(total.requestsInFlight > limits.requestsInFlight / 2);
}

TEST(OwnerLimit, refusesBeyondTheReserveWithARetryTime)
{
    OwnerLimiter limiter;
    const TimePoint now = RuntimeClock::now();
    CHECK_FALSE(limiter.admit(owner, { .requestsPerSecond = 8 }, 1, now).has_value());
    const auto refusal = limiter.admit(owner, { .requestsPerSecond = 8 }, 1, now);
    CHECK_TRUE(refusal && refusal->reason == RefusalReason::OwnerLimit);
    CHECK_TRUE(refusal && refusal->ran == RanState::NotRun);
    CHECK_TRUE(refusal && refusal->retryAfter >= Milliseconds(900));
    CHECK_FALSE(limiter.admit(OwnerId("free"), {}, 1, now).has_value());
}

TEST(OwnerLimit, replacesExpectedTokensByActualOnes)
{
    OwnerLimiter limiter;
    const OwnerLimits tokens { .tokensPerSecond = 4000 };
    const TimePoint now = RuntimeClock::now();
    CHECK_FALSE(limiter.admit(owner, tokens, 1000, now).has_value());
    CHECK_TRUE(limiter.admit(owner, tokens, 1000, now).has_value());
    limiter.onRequestFinished(owner, 0, now);
    CHECK_FALSE(limiter.admit(owner, tokens, 1000, now).has_value());
}

TEST(OwnerLimit, dividesFairly)
{
    checkProperty("the parts add up to the total, and each covers its demand up to an equal share",
        [](const std::vector<std::uint16_t>& demands, std::uint16_t total) {
            RC_PRE(!demands.empty());
            const std::vector<double> parts
                = divideFairly({ demands.begin(), demands.end() }, total);
            const double sum = std::accumulate(parts.begin(), parts.end(), 0.0);
            RC_ASSERT(std::abs(sum - total) < 1e-6);
            for (std::size_t index = 0; index < demands.size(); ++index)
                RC_ASSERT(parts[index] + 1e-6
                    >= std::min<double>(demands[index], double(total) / double(demands.size())));
        });
}
