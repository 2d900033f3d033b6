#include "ctl/settingscommand.h"

#include "libapricot/dispatchsettings.h"
#include "libapricot/entrysettings.h"
#include "libserving/gatewaysettings.h"

namespace Apricot {

namespace {

    template <typename Settings>
    CommandResult makeReference()
    {
        Settings settings;
        SettingsTable table;
        describe(settings, table);
        const std::string text = settingsReference(table);
        return { ExitCode::Done, { { "reference", text } }, text };
    }

}

CommandResult runSettings(const CommandContext& context)
{
    const std::string& daemonName = context.arguments.front();
    if (daemonName == "entry")
        return makeReference<EntrySettings>();
    if (daemonName == "dispatch")
        return makeReference<DispatchSettings>();
    if (daemonName == "gateway")
        return makeReference<GatewaySettings>();
    throw CommandError(ExitCode::Invalid, "usage: apricotctl settings entry|dispatch|gateway");
}

}
