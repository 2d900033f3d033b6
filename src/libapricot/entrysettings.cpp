#include "libapricot/entrysettings.h"

namespace Apricot {

namespace {

    constexpr NumberRange<double> bodyLimitRange { 1024, 16.0 * 1024 * 1024 };

}

void describe(EntrySettings& settings, SettingsTable& table)
{
    describe(settings.process, table);
    describeListener(settings.http, table, "http", "callers");
    table.add({ .section = "http",
                  .key = "body_limit_bytes",
                  .range = bodyLimitRange,
                  .effect = "Largest body of a request; a larger one is refused." },
        &settings.bodyLimitBytes);
    describeServer(settings.dispatch, table, "dispatch", "the dispatch daemon on this host");
    describeListener(settings.control, table, "control", "metrics, health and the state dump");
}

}
