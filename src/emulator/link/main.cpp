#include "emulator/link/link.h"
#include "libapricot/portfile.h"
#include "libnet/httpserver.h"

#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <iostream>

DEFINE_uint32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_uint32(target_port, 0, "port on the loopback address to forward connections to");
DEFINE_string(port_file, "", "file that receives the ports link and control");

namespace Apricot {

namespace {

    constexpr int statusOk = 200;
    constexpr int statusBadRequest = 400;

    LinkFaults parseFaults(const std::string& body)
    {
        const boost::json::object faults = boost::json::parse(body).as_object();
        LinkFaults result;
        if (const auto* cut = faults.if_contains("cut"))
            result.cut = cut->as_bool();
        if (const auto* delay = faults.if_contains("delay_ms"))
            result.delay = Milliseconds(delay->as_int64());
        return result;
    }

    boost::asio::awaitable<void> handleFaults(Link& link, HttpExchange& exchange)
    {
        int status = statusOk;
        try {
            link.setFaults(parseFaults(exchange.request().body));
        } catch (const std::exception&) {
            status = statusBadRequest;
        }
        co_await exchange.respond(status, "application/json", "{}");
    }

    int runLink()
    {
        boost::asio::io_context context;
        const LinkOptions options { .port = static_cast<std::uint16_t>(FLAGS_port),
            .targetPort = static_cast<std::uint16_t>(FLAGS_target_port) };
        const auto link = std::make_shared<Link>(context, options);
        link->start();
        HttpServer control(context, {},
            [&link](HttpExchange& exchange) { return handleFaults(*link, exchange); });
        if (!FLAGS_port_file.empty())
            writePortFile(
                FLAGS_port_file, { { "link", link->port() }, { "control", control.port() } });
        boost::asio::signal_set signals(context, SIGTERM, SIGINT);
        signals.async_wait([&context](auto /*error*/, int /*signal*/) { context.stop(); });
        context.run();
        return 0;
    }

}

}

int main(int argc, char** argv)
{
    gflags::SetVersionString(APRICOT_VERSION);
    gflags::SetUsageMessage("Forwards TCP connections. POST /faults cuts or delays them.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        return Apricot::runLink();
    } catch (const std::exception& error) {
        std::cerr << "apricot-link-emulator: " << error.what() << '\n';
        return 1;
    }
}
