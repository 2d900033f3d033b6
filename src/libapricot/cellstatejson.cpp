#include "libapricot/cellstatejson.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace Apricot {

namespace json = boost::json;

namespace {

    constexpr std::string_view liveName = "live";
    constexpr std::string_view leavingName = "leaving";

    std::string textAt(const json::object& object, std::string_view name)
    {
        return std::string(object.at(name).as_string());
    }

    template <typename Number>
    Number numberAt(const json::object& object, std::string_view name)
    {
        return object.at(name).to_number<Number>();
    }

    MemberState parseMemberState(const std::string& name)
    {
        if (name == liveName)
            return MemberState::Live;
        if (name == leavingName)
            return MemberState::Leaving;
        throw CellStateError("member state must be live or leaving, got " + name);
    }

    json::value memberToJson(const Member& member)
    {
        return { { "host", member.host.value() }, { "incarnation", member.incarnation },
            { "domain", member.failureDomain.value() }, { "address", member.address },
            { "port", member.port },
            { "state", member.state == MemberState::Live ? liveName : leavingName } };
    }

    Member parseMember(const json::value& value)
    {
        const json::object& object = value.as_object();
        return { .host = HostId(textAt(object, "host")),
            .incarnation = textAt(object, "incarnation"),
            .failureDomain = FailureDomainId(textAt(object, "domain")),
            .address = textAt(object, "address"),
            .port = numberAt<std::uint16_t>(object, "port"),
            .state = parseMemberState(textAt(object, "state")) };
    }

    json::array membersToJson(const std::vector<Member>& members)
    {
        json::array list;
        for (const Member& member : members)
            list.push_back(memberToJson(member));
        return list;
    }

    std::vector<Member> parseMembers(const json::value& value)
    {
        std::vector<Member> members;
        for (const json::value& member : value.as_array())
            members.push_back(parseMember(member));
        return members;
    }

    json::value homeToJson(const HomeAssignment& home)
    {
        json::object object { { "home", home.home.value() }, { "incarnation", home.incarnation },
            { "since", home.since } };
        if (!home.unconfirmedHome.empty()) {
            object["unconfirmed_home"] = home.unconfirmedHome.value();
            object["unconfirmed_incarnation"] = home.unconfirmedIncarnation;
        }
        return object;
    }

    HomeAssignment parseHome(const json::value& value)
    {
        const json::object& object = value.as_object();
        HomeAssignment home { .home = HostId(textAt(object, "home")),
            .incarnation = textAt(object, "incarnation"),
            .since = numberAt<ObjectVersion>(object, "since") };
        if (object.contains("unconfirmed_home")) {
            home.unconfirmedHome = HostId(textAt(object, "unconfirmed_home"));
            home.unconfirmedIncarnation = textAt(object, "unconfirmed_incarnation");
        }
        return home;
    }

    CellState parseObject(const json::object& object)
    {
        CellState state { .members = parseMembers(object.at("members")),
            .removed = parseMembers(object.at("removed")),
            .membersSince = numberAt<ObjectVersion>(object, "members_since"),
            .writer = HostId(textAt(object, "writer")),
            .writerIncarnation = textAt(object, "writer_incarnation"),
            .renewals = numberAt<std::uint64_t>(object, "renewals") };
        for (const json::key_value_pair& entry : object.at("homes").as_object())
            state.homes.emplace(std::string(entry.key()), parseHome(entry.value()));
        return state;
    }

}

json::value cellStateToJson(const CellState& state)
{
    json::object homes;
    for (const auto& [server, home] : state.homes)
        homes[server.value()] = homeToJson(home);
    return { { "members", membersToJson(state.members) },
        { "removed", membersToJson(state.removed) }, { "members_since", state.membersSince },
        { "homes", std::move(homes) }, { "writer", state.writer.value() },
        { "writer_incarnation", state.writerIncarnation }, { "renewals", state.renewals } };
}

CellState parseCellState(const json::value& value)
{
    try {
        return parseObject(value.as_object());
    } catch (const CellStateError&) {
        throw;
    } catch (const std::exception& error) {
        throw CellStateError(std::string("invalid cell state: ") + error.what());
    }
}

}
