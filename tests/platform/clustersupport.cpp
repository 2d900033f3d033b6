#include "clustersupport.h"

#include "platform/names.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <sstream>

#include <unistd.h>

using namespace Apricot;
namespace Asio = boost::asio;
namespace Names = PlatformNames;
namespace json = boost::json;

const char* const clusterConfig = R"({"version":1,"routes":[
  {"name":"once","host":"h","pathPrefix":"/once/","routeKind":"non_idempotent","timeoutMs":3000,
   "sloMs":300,"service":"plain","maxAttempts":1,"public":true},
  {"name":"again","host":"h","pathPrefix":"/again/","routeKind":"idempotent","timeoutMs":3000,
   "sloMs":300,"service":"plain","maxAttempts":2,"public":true},
  {"name":"stream","host":"h","pathPrefix":"/stream/","routeKind":"streaming","resumable":true,
   "timeoutMs":6000,"sloMs":1000,"service":"engines","maxAttempts":2,"public":true},
  {"name":"live","host":"h","pathPrefix":"/live/","routeKind":"streaming","resumable":false,
   "timeoutMs":6000,"sloMs":1000,"service":"engines","maxAttempts":1,"public":true},
  {"name":"staged","host":"h","pathPrefix":"/staged/","routeKind":"streaming","resumable":true,
   "timeoutMs":6000,"sloMs":1000,"service":"engines","maxAttempts":2,"public":true,
   "stages":[{"service":"stages","after":[],"byteCount":1000}]}],
 "services":[{"name":"plain"},{"name":"engines","runtime":{"slots":8,"kvCapacity":100000}},
  {"name":"stages","segments":{"slots":1,"queue":2,"batch":4,"callMs":40.0,"itemMs":5.0,
   "headroomMb":10.0,"handleTtlS":4.0}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[]})";

json::value clusterConfigWithAddedRoute()
{
    json::value config = json::parse(clusterConfig);
    config.as_object()["version"] = 2;
    json::object route = config.at("routes").at(1).as_object();
    route["name"] = "added";
    route["pathPrefix"] = "/added/";
    config.at("routes").as_array().push_back(std::move(route));
    return config;
}

std::uint16_t findFreePort()
{
    constexpr std::uint16_t firstPort = 12'000;
    constexpr std::uint16_t lastPort = 32'000;
    // Tests of several processes run at the same time.
    constexpr std::uint16_t portsPerProcess = 1000;
    constexpr int processes = (lastPort - firstPort) / portsPerProcess;
    static std::uint16_t next = firstPort + static_cast<std::uint16_t>(getpid() % processes) * portsPerProcess;
    Asio::io_context context;
    while (true) {
        const std::uint16_t port = next;
        next = next == lastPort ? firstPort : next + 1;
        Asio::ip::tcp::acceptor acceptor(context, Asio::ip::tcp::v4());
        acceptor.set_option(Asio::socket_base::reuse_address(true));
        boost::system::error_code error;
        acceptor.bind({ Asio::ip::make_address("127.0.0.1"), port }, error); // NOLINT(bugprone-unused-return-value)
        if (!error)
            return port;
    }
}

std::string localAddress(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::vector<HttpField> signedFields(const HttpRequest& request)
{
    return { { std::string(Names::requestIdField),
                 std::string(request.field(Names::requestIdField)) },
        { std::string(Names::signatureField), "signature" } };
}

std::string chunkOf(const std::string& content)
{
    std::ostringstream chunk;
    chunk << std::hex << content.size() << "\r\n"
          << content << "\r\n";
    return chunk.str();
}
