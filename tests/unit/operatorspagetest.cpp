#include "property.h"
#include "sourcefolder.h"

#include "libapricot/dispatchsettings.h"
#include "libapricot/entrysettings.h"
#include "libapricot/refusal.h"
#include "libserving/gatewaysettings.h"

using namespace Apricot;

namespace {

// Settings reference of a program in docs/OPERATORS.md: the text between its two markers.
std::string documentedReference(const std::string& program)
{
    const std::string page = readSourceFile("docs/OPERATORS.md");
    const std::string begin = "<!-- settings " + program + " begin -->\n";
    const std::size_t start = page.find(begin) + begin.size();
    return page.substr(start, page.find("<!-- settings " + program + " end -->") - start);
}

template <typename Settings>
std::string generatedReference()
{
    Settings settings;
    SettingsTable table;
    describe(settings, table);
    return settingsReference(table);
}

}

TEST_GROUP(OperatorsPage) {};

TEST(OperatorsPage, listsEverySetting)
{
    STRCMP_EQUAL(
        generatedReference<EntrySettings>().c_str(), documentedReference("entry").c_str());
    STRCMP_EQUAL(
        generatedReference<GatewaySettings>().c_str(), documentedReference("gateway").c_str());
    STRCMP_EQUAL(
        generatedReference<DispatchSettings>().c_str(), documentedReference("dispatch").c_str());
}

TEST(OperatorsPage, listsEveryRefusalReasonWithItsStatus)
{
    const std::string page = readSourceFile("docs/OPERATORS.md");
    const int last = static_cast<int>(RefusalReason::OutcomeUnknown);
    for (int index = 0; index <= last; ++index) {
        const auto reason = static_cast<RefusalReason>(index);
        const std::string row = "| `" + std::string(refusalReasonName(reason)) + "` | "
            + std::to_string(httpStatusOf(reason)) + " |";
        CHECK_TRUE_TEXT(page.find(row) != std::string::npos, row.c_str());
    }
}
