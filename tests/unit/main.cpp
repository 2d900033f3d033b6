#include "libnet/log.h"

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

#include <cstdlib>

int main(int argc, char** argv)
{
    // The log of the tested processes, to trace a failed test.
    if (const char* file = std::getenv("APRICOT_TEST_LOG"))
        Apricot::startLog({ .program = "unit-tests", .file = file });
    // RapidCheck allocates static state that CppUTest's leak detector would report as a leak.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
