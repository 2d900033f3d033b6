#include "gateway/gatewaydaemon.h"
#include "libnet/daemon.h"
#include "libnet/machinelimits.h"

int main(int argc, char** argv)
{
    using namespace Apricot;
    returnLargeBlocks();
    return runDaemon<GatewaySettings>(argc, argv, GatewayDaemon::programName,
        "Serves the requests of callers on the users' platform.\n\n"
        "  apricot-gateway --config=gateway.ini\n"
        "  apricot-gateway --config=gateway.ini --check",
        [](const GatewaySettings& settings) {
            GatewayDaemon daemon(settings, settingsFile());
            daemon.run();
            return exitOk;
        });
}
