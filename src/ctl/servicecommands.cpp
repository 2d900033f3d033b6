#include "ctl/servicecommands.h"

#include "ctl/blockingcall.h"
#include "ctl/jsontext.h"
#include "libapricot/cataloguejson.h"
#include "libapricot/cellstatejson.h"
#include "libapricot/namecheck.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <exception>
#include <map>

namespace Apricot {

namespace {

    ServiceState parseServiceState(const std::string& stateName)
    {
        if (stateName == "in")
            return ServiceState::In;
        if (stateName == "out")
            return ServiceState::Out;
        throw CommandError(ExitCode::Invalid, "the first argument must be in or out");
    }

    // Writes the state of a failure domain or host, unless it is already stored.
    CommandResult setServiceState(const CommandContext& context, ObjectKind kind)
    {
        const ServiceState state = parseServiceState(context.arguments.at(0));
        const CatalogueObject object { .kind = kind, .name = context.arguments.at(1), .spec = toJson(state) };
        if (!isValidName(object.name))
            throw CommandError(ExitCode::Invalid, "NAME must be " + std::string(allowedName));
        PlatformStore store = context.store();
        const std::optional<PlatformObject> current = store.get(platformKey(object));
        const bool isUnchanged = current && withoutChangeField(current->value) == object.spec;
        const ObjectVersion currentVersion = current ? current->version : 0;
        const ObjectVersion version
            = isUnchanged ? currentVersion
                          : store.put(platformKey(object), object.spec, currentVersion);
        const std::string_view stateName = serviceStateName(state);
        const std::string objectLabel = std::string(objectKindName(kind)) + " " + object.name;
        return { .json = { { "kind", objectKindName(kind) }, { "name", object.name },
                     { "state", stateName }, { "version", version } },
            .text = objectLabel + " is " + std::string(stateName) + (isUnchanged ? " already" : "")
                + ", version " + std::to_string(version)
                + "\nWatch it come into force with: apricotctl status\n" };
    }

    // Newest version among the objects that operators write.
    ObjectVersion newestVersion(PlatformStore& store)
    {
        ObjectVersion newest = 0;
        for (const ObjectKind kind : objectKinds) {
            for (const PlatformObject& object : store.list(std::string(keyPrefix(kind))))
                newest = std::max(newest, object.version);
        }
        return newest;
    }

    constexpr std::string_view statusPrefix = "status/";
    constexpr std::string_view cellPrefix = "cells/";

    // Configuration status of one host.
    struct HostStatus {
        std::string host;
        ObjectVersion version = 0;
        boost::json::array invalid;
        // Whether the host is a member of a cell. The report of a host that has left is outdated.
        bool isMember = false;

        bool isLagging(ObjectVersion newest) const { return isMember && version < newest; }
    };

    // Reads the fields of a report. Missing and malformed fields get their default values.
    void parseReport(const boost::json::value& report, HostStatus& status)
    {
        const boost::json::object* fields = report.if_object();
        if (fields == nullptr)
            return;
        if (const boost::json::value* version = fields->if_contains("version")) {
            boost::json::error_code ignored;
            status.version = version->to_number<ObjectVersion>(ignored);
        }
        const boost::json::value* invalid = fields->if_contains("invalid");
        if (invalid != nullptr && invalid->is_array())
            status.invalid = invalid->get_array();
    }

    // Returns the status of all hosts, with an empty one for each member that has not reported.
    std::map<std::string, HostStatus> readStatuses(PlatformStore& store)
    {
        std::map<std::string, HostStatus> statuses;
        for (const PlatformObject& object : store.list(std::string(statusPrefix))) {
            HostStatus& status = statuses[object.key.substr(statusPrefix.size())];
            parseReport(object.value, status);
        }
        for (const PlatformObject& cell : store.list(std::string(cellPrefix))) {
            for (const Member& member : parseCellState(cell.value).members)
                statuses[member.host.value()].isMember = true;
        }
        for (auto& [host, status] : statuses)
            status.host = host;
        return statuses;
    }

    std::string statusLine(const HostStatus& status, ObjectVersion newest)
    {
        std::string line = status.host + " has version " + std::to_string(status.version);
        if (!status.isMember)
            line += ", is in no cell";
        else
            line += status.isLagging(newest) ? ", lags" : ", in force";
        if (!status.invalid.empty())
            line += ", reports " + std::to_string(status.invalid.size()) + " invalid objects";
        line += "\n";
        for (const boost::json::value& invalid : status.invalid)
            line += "  " + boost::json::serialize(invalid) + "\n";
        return line;
    }

    HttpResponse fetch(const HttpClientOptions& options, const HttpCall& call)
    {
        boost::asio::io_context context;
        HttpClient client(context, options);
        try {
            return runBlocking(context, client.send(call));
        } catch (const boost::system::system_error& error) {
            std::string text = options.address + ":" + std::to_string(options.port);
            throw CommandError(ExitCode::Failed, text + ": " + error.code().message());
        }
    }

}

CommandResult runDomain(const CommandContext& context)
{
    return setServiceState(context, ObjectKind::Domain);
}

CommandResult runHost(const CommandContext& context)
{
    return setServiceState(context, ObjectKind::Host);
}

CommandResult runStatus(const CommandContext& context)
{
    PlatformStore store = context.store();
    const ObjectVersion newest = newestVersion(store);
    CommandResult result { .text = "newest version " + std::to_string(newest) + "\n" };
    boost::json::array hosts;
    for (const auto& [host, status] : readStatuses(store)) {
        if (status.isLagging(newest) || (status.isMember && !status.invalid.empty()))
            result.code = ExitCode::Different;
        result.text += statusLine(status, newest);
        hosts.push_back({ { "host", host }, { "version", status.version },
            { "member", status.isMember }, { "lags", status.isLagging(newest) },
            { "invalid", status.invalid } });
    }
    result.json = { { "newest_version", newest }, { "hosts", std::move(hosts) } };
    return result;
}

CommandResult runDump(const CommandContext& context)
{
    const HttpClientOptions options = parseEndpoint(context.arguments.front());
    const HttpResponse response = fetch(options, { .target = "/state" });
    if (response.status != 200)
        throw CommandError(
            ExitCode::Failed, "expected status 200, got " + std::to_string(response.status));
    boost::json::value state = boost::json::parse(response.body);
    const std::string text = prettyJson(state) + "\n";
    return { .json = std::move(state), .text = text };
}

HttpClientOptions parseEndpoint(const std::string& text)
{
    const CommandError malformed(ExitCode::Invalid,
        "\"" + text + "\" must be ADDRESS:PORT with an IP address, such as 10.0.0.7:9000");
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        throw malformed;
    HttpClientOptions options { .address = text.substr(0, colon) };
    if (options.address.starts_with('[') && options.address.ends_with(']'))
        options.address = options.address.substr(1, options.address.size() - 2);
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, options.port);
    if (!isValidAddress(options.address) || error != std::errc() || rest != end || options.port == 0)
        throw malformed;
    return options;
}

}
