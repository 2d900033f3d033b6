#include "property.h"

#include "libapricot/claimbatch.h"

#include <random>

using namespace Apricot;

namespace {

// A platform object and two claim homes that write it at the same time. Answers may be lost, before
// or after the write took effect, and writes may be delayed past later ones.
class ClaimScene {
public:
    explicit ClaimScene(unsigned seed)
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
            perform(home);
            for (const SettledClaim& settled : home.drainSettled()) {
                if (settled.response.result == ClaimResult::Granted)
                    m_granted[settled.claimKey].push_back(settled.token);
                else if (settled.response.result == ClaimResult::Unavailable)
                    home.add(settled.claimKey, settled.token);
            }
            if (!m_delayed.empty() && m_random() % 4 == 0) {
                put(m_delayed.back());
                m_delayed.pop_back();
            }
        }
    }

    const std::map<std::string, std::vector<std::string>>& granted() const { return m_granted; }
    ObjectVersion writes() const { return m_object.version; }

private:
    bool put(const ClaimObject& object)
    {
        if (object.version != m_object.version)
            return false;
        m_object = { .version = object.version + 1, .entries = object.entries };
        return true;
    }

    void perform(ClaimBatch& home)
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
            m_delayed.push_back(write->object);
            return home.onWriteOutcomeUnknown();
        }
        const bool accepted = put(write->object);
        if (fault == 2)
            return home.onWriteOutcomeUnknown();
        if (accepted)
            return home.onWriteAccepted(m_object.version);
        home.onWriteConflict(m_object);
    }

    std::mt19937 m_random;
    std::vector<ClaimBatch> m_homes = std::vector<ClaimBatch>(2);
    ClaimObject m_object;
    std::vector<ClaimObject> m_delayed;
    std::map<std::string, std::vector<std::string>> m_granted;
};

}

TEST_GROUP(ClaimBatch) {};

TEST(ClaimBatch, aKeyIsGrantedToOneTokenOnly)
{
    checkProperty("one token", [] {
        ClaimScene scene(*rc::gen::inRange(0U, 1'000'000U));
        for (int key = 0; key < 5; ++key) {
            scene.claim(0, std::to_string(key), "first");
            scene.claim(1, std::to_string(key), "second");
        }
        scene.run(400);
        RC_ASSERT(scene.granted().size() == 5U);
        for (const auto& [key, tokens] : scene.granted())
            RC_ASSERT(tokens.size() == 1U);
    });
}

TEST(ClaimBatch, allThatWaitGoesIntoOneWrite)
{
    ClaimBatch batch;
    for (int key = 0; key < 100; ++key)
        batch.add(std::to_string(key), "token");
    CHECK_TRUE(std::holds_alternative<ReadClaims>(*batch.next()));
    batch.onRead({});
    const WriteClaims put = std::get<WriteClaims>(*batch.next());
    LONGS_EQUAL(100, put.object.entries.size());
    CHECK_FALSE(batch.next().has_value());
    batch.onWriteAccepted(1);
    LONGS_EQUAL(100, batch.drainSettled().size());
    CHECK_TRUE(batch.isIdle());
}
