#include "gateway/serverendprobe.h"

#include "libapricot/rendezvous.h"
#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    // A process that ends closes its connections and its listener at the same time; the kernel may take a
    // moment between them.
    constexpr Milliseconds probeDelay { 20 };
    // A peer may have to wait for connections of its own.
    constexpr Milliseconds peerTimeout { 800 };
    constexpr std::size_t maxPeers = 8;
    // Number of peers that have to agree if none of them reaches any server.
    constexpr std::size_t minPeersAlone = 2;

}

const char* ServerEndProbe::observationName(Observation observation)
{
    switch (observation) {
    case Observation::Reached:
        return "reached";
    case Observation::Refused:
        return "refused";
    case Observation::RefusedAlone:
        return "refused_alone";
    case Observation::Unknown:
        return "unknown";
    }
    return "unknown";
}

ServerEndProbe::ServerEndProbe(Asio::io_context& context, const ServingView& view, BackendLinks& links,
    PeerClient& peers, HostId self)
    : m_context(context)
    , m_view(view)
    , m_links(links)
    , m_peers(peers)
    , m_self(std::move(self))
{
}

Asio::awaitable<bool> ServerEndProbe::hasEnded(Endpoint server)
{
    co_await sleepFor(m_context.get_executor(), probeDelay);
    Endpoint probed = server;
    if (co_await m_links.probe(std::move(probed)) != Asio::error::connection_refused)
        co_return false;
    Endpoint asked = server;
    Observation observation = co_await askPeers(std::move(asked));
    if (observation == Observation::Unknown) {
        Endpoint other = server;
        if (co_await m_links.reachesAnother(std::move(other)))
            observation = Observation::Refused;
    }
    const bool hasEnded = observation == Observation::Refused;
    writeLog(LogLevel::Info, "server_end_checked", { { "address", toText(server) }, { "ended", hasEnded } });
    co_return hasEnded;
}

Asio::awaitable<ServerEndProbe::Observation> ServerEndProbe::askPeers(Endpoint server)
{
    const std::vector<PeerHost> peers = peersToAsk(server);
    std::size_t refusedByAlone = 0;
    for (const PeerHost& peer : peers) {
        Endpoint address = peer.endpoint;
        Endpoint asked = server;
        const Observation observation = co_await ask(std::move(address), std::move(asked));
        if (observation == Observation::Reached || observation == Observation::Refused)
            co_return observation;
        refusedByAlone += observation == Observation::RefusedAlone ? 1 : 0;
    }
    const bool isAgreed = refusedByAlone == peers.size() && refusedByAlone >= minPeersAlone;
    co_return isAgreed ? Observation::Refused : Observation::Unknown;
}

Asio::awaitable<ServerEndProbe::Observation> ServerEndProbe::observe(Endpoint server)
{
    Endpoint probed = server;
    const boost::system::error_code error = co_await m_links.probe(std::move(probed));
    if (!error)
        co_return Observation::Reached;
    if (error != Asio::error::connection_refused)
        co_return Observation::Unknown;
    const bool isSound = co_await m_links.reachesAnother(std::move(server));
    co_return isSound ? Observation::Refused : Observation::RefusedAlone;
}

Asio::awaitable<ServerEndProbe::Observation> ServerEndProbe::ask(Endpoint peer, Endpoint server)
{
    try {
        Message question = TextMessage { topic, json::serialize(json::object { { "address", toText(server) } }) };
        const Message response = co_await m_peers.call(std::move(peer), std::move(question), peerTimeout);
        const json::value text = json::parse(std::get<TextMessage>(response).json);
        for (const Observation observation :
            { Observation::Reached, Observation::Refused, Observation::RefusedAlone }) {
            if (text.at("result").as_string() == observationName(observation))
                co_return observation;
        }
    } catch (const std::exception&) {
        // A peer that does not respond, or not properly, tells nothing.
    }
    co_return Observation::Unknown;
}

Asio::awaitable<std::string> ServerEndProbe::respondTo(std::string question)
{
    const json::value text = json::parse(question);
    const std::optional<Endpoint> server = parseEndpoint(std::string(text.at("address").as_string()));
    Observation observation = Observation::Unknown;
    // Connects to the addresses of servers only.
    if (server && m_view.servers().findByAddress(*server)) {
        Endpoint observed = *server;
        observation = co_await observe(std::move(observed));
    }
    co_return json::serialize(json::object { { "result", observationName(observation) } });
}

std::vector<PeerHost> ServerEndProbe::peersToAsk(const Endpoint& server) const
{
    const auto& hosts = m_view.hosts();
    const auto self = hosts.find(m_self);
    const FailureDomainId domain = self == hosts.end() ? FailureDomainId() : self->second.domain;
    std::vector<HostId> order = rankHosts(toText(server), m_view.hostIds());
    std::erase(order, m_self);
    std::stable_partition(order.begin(), order.end(),
        [&](const HostId& host) { return hosts.at(host).domain != domain; });
    order.resize(std::min(order.size(), maxPeers));
    std::vector<PeerHost> peers;
    peers.reserve(order.size());
    for (const HostId& host : order)
        peers.push_back(hosts.at(host));
    return peers;
}

}
