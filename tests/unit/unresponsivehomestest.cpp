#include "libapricot/unresponsivehomes.h"

#include "property.h"

using namespace Apricot;

TEST_GROUP(UnresponsiveHomes)
{
    ControlView m_view;
    UnresponsiveHomes m_homes;
    TimePoint m_now {};

    void setup() override
    {
        Catalogue catalogue;
        CellState cell;
        for (const char* name : { "a", "b" }) {
            const BackendServerId server { name };
            catalogue.servers[server] = { .id = server, .pool = PoolId("pool") };
            cell.homes[server].home = HostId(std::string("host-") + name);
        }
        m_view.catalogue = std::make_shared<const Catalogue>(catalogue);
        m_view.cell = std::make_shared<const CellState>(cell);
    }

    std::size_t countExcludedServers(Milliseconds elapsed) const
    {
        return m_homes.serversWithUnresponsiveHome(m_view, PoolId("pool"), m_now + elapsed).size();
    }
};

TEST(UnresponsiveHomes, excludesTheServersOfAnUnresponsiveHomeForThreeSeconds)
{
    m_homes.recordTimeout(HostId("host-a"), m_now);
    LONGS_EQUAL(1, countExcludedServers(Milliseconds(2999)));
    LONGS_EQUAL(0, countExcludedServers(Milliseconds(3000)));
}

TEST(UnresponsiveHomes, aResponseEndsTheExclusionOfTheServers)
{
    m_homes.recordTimeout(HostId("host-a"), m_now);
    m_homes.recordResponse(HostId("host-a"));
    LONGS_EQUAL(0, countExcludedServers(Milliseconds(0)));
}

TEST(UnresponsiveHomes, neverExcludesAllServersOfAPool)
{
    m_homes.recordTimeout(HostId("host-a"), m_now);
    m_homes.recordTimeout(HostId("host-b"), m_now);
    LONGS_EQUAL(0, countExcludedServers(Milliseconds(0)));
}
