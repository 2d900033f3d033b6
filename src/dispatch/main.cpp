#include "dispatch/dispatchdaemon.h"
#include "libnet/daemon.h"

namespace {

const std::string programName = "apricot-dispatch";
const std::string usageText
    = "Runs the request coordinator and the homes of replicas on one host of apricotpier.\n\n"
      "  apricot-dispatch --config=dispatch.ini\n"
      "  apricot-dispatch --config=dispatch.ini --check";

}

int main(int argc, char** argv)
{
    using namespace Apricot;
    return runDaemon<DispatchSettings>(
        argc, argv, programName, usageText, [](const DispatchSettings& settings) {
            DispatchDaemon daemon(settings);
            daemon.run();
            return exitOk;
        });
}
