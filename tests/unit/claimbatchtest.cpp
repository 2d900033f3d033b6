#include "property.h"

#include "libapricot/claimbatch.h"

#include <random>

using namespace Apricot;

namespace {

// Simulates two claim homes that write one platform object concurrently. Responses may be lost before
// or after the write takes effect, and a delayed write may arrive after later ones.
class ClaimSimulation {
public:
    explicit ClaimSimulation(unsigned seed)
        : m_random(seed)
    {
    }

    void claim(std::size_t home, const std::string& key, const std::string& token)
    {
        m_homes[home].add(key, token);
    }

    void run(int steps)
    {
        for (int step = 0; step < steps; ++step) {
            ClaimBatch& home = m_homes[m_random() % m_homes.size()];
            performNextStep(home);
            for (const SettledClaim& settled : home.drainSettled()) {
                if (settled.response.result == ClaimResult::Granted)
                    m_granted[settled.claimKey].push_back(settled.token);
                else if (settled.response.result == ClaimResult::Unavailable)
                    home.add(settled.claimKey, settled.token);
            }
            if (!m_delayedWrites.empty() && m_random() % 4 == 0) {
                storeIfCurrent(m_delayedWrites.back());
                m_delayedWrites.pop_back();
            }
        }
    }

    const std::map<std::string, std::vector<std::string>>& granted() const { return m_granted; }
    ObjectVersion writeCount() const { return m_object.version; }

private:
    bool storeIfCurrent(const ClaimObject& object)
    {
        if (object.version != m_object.version)
            return false;
        m_object = { .version = object.version + 1, .entries = object.entries };
        return true;
    }

    void performNextStep(ClaimBatch& home)
    {
        const std::optional<ClaimStep> step = home.next();
        if (!step)
            return;
        const unsigned fault = m_random() % 8;
        if (fault == 0)
            return home.onUnavailable(Milliseconds(10));
        const auto* write = std::get_if<WriteClaims>(&*step);
        if (!write)
            return home.onRead(m_object);
        if (fault == 1) {
            m_delayedWrites.push_back(write->object);
            return home.onWriteOutcomeUnknown();
        }
        const bool accepted = storeIfCurrent(write->object);
        if (fault == 2)
            return home.onWriteOutcomeUnknown();
        if (accepted)
            return home.onWriteAccepted(m_object.version);
        home.onWriteConflict(m_object);
    }

    std::mt19937 m_random;
    std::vector<ClaimBatch> m_homes = std::vector<ClaimBatch>(2);
    ClaimObject m_object;
    std::vector<ClaimObject> m_delayedWrites;
    std::map<std::string, std::vector<std::string>> m_granted;
};

}

TEST_GROUP(ClaimBatch) {};

TEST(ClaimBatch, aKeyIsGrantedToOneTokenOnly)
{
    checkProperty("each key is granted to exactly one token", [] {
        ClaimSimulation simulation(*rc::gen::inRange(0U, 1'000'000U));
        for (int key = 0; key < 5; ++key) {
            simulation.claim(0, std::to_string(key), "first");
            simulation.claim(1, std::to_string(key), "second");
        }
        simulation.run(400);
        RC_ASSERT(simulation.granted().size() == 5U);
        for (const auto& [key, tokens] : simulation.granted())
            RC_ASSERT(tokens.size() == 1U);
    });
}

TEST(ClaimBatch, writesAllWaitingClaimsAtOnce)
{
    ClaimBatch batch;
    for (int key = 0; key < 100; ++key)
        batch.add(std::to_string(key), "token");
    CHECK_TRUE(std::holds_alternative<ReadClaims>(*batch.next()));
    batch.onRead({});
    const WriteClaims write = std::get<WriteClaims>(*batch.next());
    LONGS_EQUAL(100, write.object.entries.size());
    CHECK_FALSE(batch.next().has_value());
    batch.onWriteAccepted(1);
    LONGS_EQUAL(100, batch.drainSettled().size());
    CHECK_TRUE(batch.isIdle());
}
