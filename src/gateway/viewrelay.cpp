#include "gateway/viewrelay.h"

#include "libnet/asyncevent.h"
#include "libnet/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace Apricot {

namespace Asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr Milliseconds askInterval { 500 };
    constexpr Milliseconds askTimeout { 400 };

    json::value toJson(const PlatformList& list)
    {
        json::array objects;
        for (const PlatformObject& object : list.objects)
            objects.push_back({ { "key", object.key }, { "version", object.version },
                { "value", object.value } });
        json::object body { { "revision", list.revision }, { "objects", std::move(objects) } };
        return body;
    }

    PlatformList readList(const json::value& value)
    {
        PlatformList list { .revision = value.at("revision").to_number<ObjectVersion>() };
        for (const json::value& entry : value.at("objects").as_array())
            list.objects.push_back({ .key = std::string(entry.at("key").as_string()),
                .version = entry.at("version").to_number<ObjectVersion>(),
                .value = entry.at("value") });
        return list;
    }

}

ViewRelay::ViewRelay(Asio::io_context& context, BeliefKeeper& belief, ServingView& view,
    PeerClient& peers, HostId self, std::vector<Endpoint> seeds)
    : m_context(context)
    , m_belief(belief)
    , m_view(view)
    , m_peers(peers)
    , m_self(std::move(self))
    , m_seeds(std::move(seeds))
{
}

void ViewRelay::start()
{
    Asio::co_spawn(m_context, askWhileLost(), Asio::detached);
}

std::string ViewRelay::answer(const std::string& question) const
{
    const json::value asked = json::parse(question);
    json::object lists;
    for (const StoreFollower* follower : m_belief.followers()) {
        const json::value* known = asked.as_object().if_contains(follower->prefix());
        const ObjectVersion revision = known ? known->to_number<ObjectVersion>() : 0;
        if (follower->revision() > revision)
            lists[follower->prefix()] = toJson(follower->list());
    }
    return json::serialize(lists);
}

std::vector<Endpoint> ViewRelay::peersToAsk() const
{
    std::vector<Endpoint> peers;
    for (const auto& [id, host] : m_view.hosts()) {
        if (id != m_self)
            peers.push_back(host.endpoint);
    }
    for (const Endpoint& seed : m_seeds) {
        if (std::find(peers.begin(), peers.end(), seed) == peers.end())
            peers.push_back(seed);
    }
    return peers;
}

Asio::awaitable<void> ViewRelay::askWhileLost()
{
    while (true) {
        co_await sleepFor(m_context.get_executor(), askInterval);
        const std::vector<Endpoint> peers = peersToAsk();
        if (!m_belief.isStoreLost() || peers.empty())
            continue;
        Endpoint peer = peers[m_next++ % peers.size()];
        try {
            co_await ask(std::move(peer));
        } catch (const std::exception&) {
            // The next peer is asked in its turn; that the store is lost has been logged.
        }
    }
}

Asio::awaitable<void> ViewRelay::ask(Endpoint peer)
{
    json::object known;
    for (const StoreFollower* follower : m_belief.followers())
        known[follower->prefix()] = follower->revision();
    const std::string peerText = toText(peer);
    Message question = TextMessage { topic, json::serialize(known) };
    const Message answer = co_await m_peers.ask(std::move(peer), std::move(question), askTimeout);
    const auto* text = std::get_if<TextMessage>(&answer);
    if (!text)
        co_return;
    const json::value lists = json::parse(text->json);
    for (StoreFollower* follower : m_belief.followers()) {
        const json::value* list = lists.as_object().if_contains(follower->prefix());
        if (!list || !follower->absorb(readList(*list)))
            continue;
        writeLog(LogLevel::Info, "view_from_peer",
            { { "kind", follower->prefix() }, { "revision", follower->revision() },
                { "peer", peerText } });
    }
}

}
