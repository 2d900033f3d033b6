#pragma once

#include "libapricot/settingvalue.h"

#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace Apricot {

// One fault in a settings file. A line of zero means the file as a whole.
struct SettingsProblem {
    std::string file;
    int line = 0;
    // Section and key, such as membership.evidence_ms; empty when the line has none.
    std::string key;
    std::string problem;

    auto operator<=>(const SettingsProblem&) const = default;
};

// Text "FILE:LINE: KEY: PROBLEM" of one fault.
std::string describe(const SettingsProblem& problem);

// Thrown with every fault of a settings file, so that an operator mends them in one go.
class SettingsError : public std::runtime_error {
public:
    explicit SettingsError(std::vector<SettingsProblem> problems);

    const std::vector<SettingsProblem>& problems() const { return m_problems; }

private:
    std::vector<SettingsProblem> m_problems;
};

// A setting and the variable that it fills.
struct Setting {
    SettingSpec spec;
    SettingTarget target;

    // Section and key, such as membership.evidence_ms.
    std::string name() const { return spec.section + "." + spec.key; }
};

// A condition between several settings, checked once each of them is valid.
struct SettingsRule {
    // Name of the setting that a fault is reported for.
    std::string name;
    std::function<bool()> isSatisfied;
    std::string allowed;
};

// The settings of one program, each declared once: the reader, --help_settings and the reference in
// the docs all come from this table. Defaults are the values that the targets hold when the table
// is made. The targets must outlive the table.
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

// Reads an INI file into the table's targets and checks it in full. Throws SettingsError.
void loadSettings(const std::string& file, const SettingsTable& table);
// The same for a text; the file's name is only used in messages.
void loadSettingsText(const std::string& text, const std::string& file, const SettingsTable& table);

// Reads a settings file into a new Settings, whose describe() declares the table. Throws
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

// Text for --help_settings.
std::string settingsHelp(const SettingsTable& table);
// The table as Markdown, for the operators' page.
std::string settingsReference(const SettingsTable& table);

}
