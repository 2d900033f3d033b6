#include "ctl/settingscommand.h"

#include "libapricot/dispatchsettings.h"
#include "libapricot/entrysettings.h"
#include "libserving/gatewaysettings.h"

namespace Apricot {

namespace {

    template <typename Settings>
    CommandResult reference()
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
    const std::string& program = context.arguments.front();
    if (program == "entry")
        return reference<EntrySettings>();
    if (program == "dispatch")
        return reference<DispatchSettings>();
    if (program == "gateway")
        return reference<GatewaySettings>();
    throw CommandError(ExitCode::Invalid, "usage: apricotctl settings entry|dispatch|gateway");
}

}
