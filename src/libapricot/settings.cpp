#include "libapricot/settings.h"

#include <algorithm>
#include <sstream>

namespace Apricot {

namespace {

    std::string describeProblems(const std::vector<SettingsProblem>& problems)
    {
        std::string text;
        for (const SettingsProblem& problem : problems)
            text += describe(problem) + "\n";
        return text;
    }

    std::string defaultText(const Setting& setting)
    {
        if (setting.spec.required)
            return "none, must be set";
        const std::string text = settingText(setting.target);
        return text.empty() ? "empty" : text;
    }

}

std::string describe(const SettingsProblem& problem)
{
    std::string text = problem.file + ":";
    if (problem.line > 0)
        text += std::to_string(problem.line) + ":";
    if (!problem.key.empty())
        text += " " + problem.key + ":";
    return text + " " + problem.problem;
}

SettingsError::SettingsError(std::vector<SettingsProblem> problems)
    : std::runtime_error(describeProblems(problems))
    , m_problems(std::move(problems))
{
}

void SettingsTable::add(SettingSpec spec, SettingTarget target)
{
    m_settings.push_back({ std::move(spec), target });
}

void SettingsTable::addRule(SettingsRule rule)
{
    m_rules.push_back(std::move(rule));
}

const Setting* SettingsTable::find(std::string_view section, std::string_view key) const
{
    const auto found = std::find_if(
        m_settings.begin(), m_settings.end(), [section, key](const Setting& setting) {
            return setting.spec.section == section && setting.spec.key == key;
        });
    return found == m_settings.end() ? nullptr : &*found;
}

bool SettingsTable::hasSection(std::string_view section) const
{
    return std::any_of(m_settings.begin(), m_settings.end(),
        [section](const Setting& setting) { return setting.spec.section == section; });
}

std::string settingsHelp(const SettingsTable& table)
{
    std::ostringstream text;
    std::string_view section;
    for (const Setting& setting : table.settings()) {
        if (setting.spec.section != section) {
            section = setting.spec.section;
            text << "[" << section << "]\n";
        }
        text << "  " << setting.spec.key << "\n"
             << "      " << setting.spec.effect << "\n"
             << "      default: " << defaultText(setting)
             << "; allowed: " << allowedValues(setting.spec, setting.target) << "\n";
    }
    return text.str();
}

std::string settingsReference(const SettingsTable& table)
{
    std::ostringstream text;
    text << "| section | key | unit | default | allowed | effect |\n"
         << "| --- | --- | --- | --- | --- | --- |\n";
    for (const Setting& setting : table.settings()) {
        text << "| " << setting.spec.section << " | `" << setting.spec.key << "` | "
             << settingUnit(setting.spec, setting.target) << " | " << defaultText(setting)
             << " | " << allowedValues(setting.spec, setting.target) << " | "
             << setting.spec.effect << " |\n";
    }
    for (const SettingsRule& rule : table.rules())
        text << "\n`" << rule.name << "` must be " << rule.allowed << ".\n";
    return text.str();
}

}
