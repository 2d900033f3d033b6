#pragma once

#include "emulator/platform/platformserver.h"
#include "platform/platformclient.h"

#include <functional>
#include <string>

// A platform emulator with a client of it, for tests over sockets.
struct PlatformFixture {
    boost::asio::io_context context;
    Apricot::PlatformServer platform { context, {} };
    Apricot::PlatformClient client { context,
        { .port = platform.port(),
            .host = Apricot::HostId("h1"),
            .timeout = Apricot::Milliseconds(500) } };

    // Runs one coroutine to its end while the context serves; passes its exception on.
    void runToEnd(std::function<boost::asio::awaitable<void>()> body);
    // Sets the platform's faults by the JSON of POST /faults.
    boost::asio::awaitable<void> setFaults(std::string faults);
};
