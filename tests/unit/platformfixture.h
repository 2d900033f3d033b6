#pragma once

#include "emulator/platform/platformserver.h"
#include "platform/platformclient.h"

#include <functional>
#include <string>

// Platform emulator and a client connected to it, for tests over sockets.
struct PlatformFixture {
    boost::asio::io_context context;
    Apricot::PlatformServer platform { context, {} };
    Apricot::PlatformClient client { context,
        { .port = platform.port(),
            .host = Apricot::HostId("h1"),
            .timeout = Apricot::Milliseconds(500) } };

    // Runs the context, with the emulator on it, until the coroutine ends. Rethrows its exception.
    void runToEnd(std::function<boost::asio::awaitable<void>()> body);
    // Sets the emulator's faults. Takes the JSON body of POST /faults.
    boost::asio::awaitable<void> setFaults(std::string faults);
};
