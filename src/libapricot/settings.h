#pragma once

#include "libapricot/settingvalue.h"

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// An error in a settings file. A line of zero refers to the whole file.
struct SettingsProblem {
    std::string file;
    int line = 0;
    // Section and key, such as membership.evidence_ms; empty if the line has none.
    std::string key;
    std::string problem;

    auto operator<=>(const SettingsProblem&) const = default;
};

// Formats an error as "FILE:LINE: KEY: PROBLEM".
std::string describe(const SettingsProblem& problem);

// Thrown with all errors of a settings file, so that an operator can fix them at once.
class SettingsError : public std::runtime_error {
public:
    explicit SettingsError(std::vector<SettingsProblem> problems);

    const std::vector<SettingsProblem>& problems() const { return m_problems; }

private:
    std::vector<SettingsProblem> m_problems;
};

// A setting and the variable that receives its value.
struct Setting {
    SettingSpec spec;
    SettingTarget target;

    // Section and key, such as membership.evidence_ms.
    std::string name() const { return spec.section + "." + spec.key; }
};

// A condition on several settings, checked once each of them is valid.
struct SettingsRule {
    // Name of the setting for which a violation is reported.
    std::string name;
    std::function<bool()> isSatisfied;
    std::string allowed;
};

// The settings of one program. The reader, --help_settings and the reference in the documentation
// are all based on this table, so that each setting is declared only once. Defaults are the values
// of the targets when the table is created. The targets must outlive the table.
class SettingsTable {
public:
    void add(SettingSpec spec, SettingTarget target);
    void addRule(SettingsRule rule);

    const std::vector<Setting>& settings() const { return m_settings; }
    const std::vector<SettingsRule>& rules() const { return m_rules; }
    const Setting* find(std::string_view section, std::string_view key) const;
    bool hasSection(std::string_view section) const;

private:
    std::vector<Setting> m_settings;
    std::vector<SettingsRule> m_rules;
};

// Reads an INI file into the targets of the table and validates it completely. Throws
// SettingsError.
void loadSettings(const std::string& file, const SettingsTable& table);
// The same for a text; the file name is only used in messages.
void loadSettingsText(const std::string& text, const std::string& file, const SettingsTable& table);

// Reads a settings file into a new Settings object, whose table is declared by describe(). Throws
// SettingsError.
template <typename Settings>
Settings loadSettingsAs(const std::string& file)
{
    Settings settings;
    SettingsTable table;
    describe(settings, table);
    loadSettings(file, table);
    return settings;
}

// Output of --help_settings.
std::string settingsHelp(const SettingsTable& table);
// The table as Markdown, for the operators' page.
std::string settingsReference(const SettingsTable& table);

}
