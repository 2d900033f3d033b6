#include "emulator/platform/platformserver.h"

#include <boost/asio/signal_set.hpp>
#include <gflags/gflags.h>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>

DEFINE_uint32(port, 0, "port to listen on; 0 lets the kernel choose");
DEFINE_string(port_file, "", "file that receives the port once the program listens");
DEFINE_double(writes_per_second, 0, "maximum number of writes per second; 0 means no limit");
DEFINE_double(reads_per_second, 0, "maximum number of reads per second; 0 means no limit");

namespace {

void writePortFile(std::uint16_t port)
{
    if (FLAGS_port_file.empty())
        return;
    // The file is renamed when it is complete, so that a reader never sees partial content.
    const std::string partial = FLAGS_port_file + ".partial";
    std::ofstream(partial) << port << '\n';
    std::rename(partial.c_str(), FLAGS_port_file.c_str());
}

}

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    try {
        boost::asio::io_context context(1);
        const Apricot::PlatformServer server(context,
            { .port = static_cast<std::uint16_t>(FLAGS_port),
                .writesPerSecond = FLAGS_writes_per_second,
                .readsPerSecond = FLAGS_reads_per_second });
        boost::asio::signal_set signals(context, SIGINT, SIGTERM);
        signals.async_wait([&context](boost::system::error_code, int) { context.stop(); });
        writePortFile(server.port());
        context.run();
    } catch (const std::exception& error) {
        std::cerr << "apricot-platform-emulator: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
    return EXIT_SUCCESS;
}
