#include "libapricot/settings.h"

#include <ini.h>

#include <cstring>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <type_traits>

namespace Apricot {

namespace {

    // Maximum length of a line that the INI library does not truncate.
    constexpr std::size_t lineLengthLimit = 198;

    std::vector<std::string> splitLines(const std::string& text)
    {
        std::vector<std::string> lines;
        std::istringstream stream(text);
        std::string line;
        while (std::getline(stream, line)) {
            if (!line.empty() && line.back() == '\r')
                line.pop_back();
            lines.push_back(line);
        }
        return lines;
    }

    bool isNumber(const SettingTarget& target)
    {
        return std::visit(
            [](auto* variable) {
                using Value = std::remove_pointer_t<decltype(variable)>;
                return std::is_same_v<Value, Milliseconds> || (std::is_arithmetic_v<Value> && !std::is_same_v<Value, bool>);
            },
            target);
    }

    // Feeds lines to the INI library and tracks the line number, which the library does not pass to
    // its handler.
    struct LineSource {
        const std::vector<std::string>& lines;
        std::size_t next = 0;

        int lineNumber() const { return static_cast<int>(next); }

        char* read(char* buffer, int size)
        {
            if (next >= lines.size())
                return nullptr;
            const std::string line = lines[next++] + "\n";
            const std::size_t length = std::min(line.size(), static_cast<std::size_t>(size) - 1);
            std::memcpy(buffer, line.data(), length);
            buffer[length] = '\0';
            return buffer;
        }
    };

    char* readLine(char* buffer, int size, void* source)
    {
        return static_cast<LineSource*>(source)->read(buffer, size);
    }

    // Reads the assignments of one file into the targets of a table and collects all errors.
    class SettingsReader {
    public:
        SettingsReader(std::vector<std::string> lines, std::string file, const SettingsTable& table)
            : m_lines(std::move(lines))
            , m_file(std::move(file))
            , m_table(table)
        {
        }

        void read()
        {
            clearLongLines();
            clearMalformedLines();
            ini_parse_stream(&readLine, &m_source, &SettingsReader::handle, this);
            checkRequired();
            if (m_problems.empty())
                checkRules();
            if (!m_problems.empty())
                throw SettingsError(std::move(m_problems));
        }

    private:
        static int handle(void* self, const char* section, const char* key, const char* value)
        {
            static_cast<SettingsReader*>(self)->assign(section, key, value);
            return 1;
        }

        static int ignoreAssignment(
            void* /*self*/, const char* /*section*/, const char* /*key*/, const char* /*value*/)
        {
            return 1;
        }

        void report(int line, std::string key, std::string problem)
        {
            m_problems.push_back({ m_file, line, std::move(key), std::move(problem) });
        }

        void clearLongLines()
        {
            for (std::size_t index = 0; index < m_lines.size(); ++index) {
                if (m_lines[index].size() <= lineLengthLimit)
                    continue;
                report(static_cast<int>(index) + 1, "",
                    "must have at most " + std::to_string(lineLengthLimit) + " characters");
                m_lines[index].clear();
            }
        }

        // The library reports only the first line that it can't parse, so parsing is repeated
        // without that line until no malformed line is left.
        void clearMalformedLines()
        {
            for (;;) {
                LineSource source { m_lines };
                const int line = ini_parse_stream(&readLine, &source, &ignoreAssignment, nullptr);
                if (line <= 0)
                    return;
                report(line, "", "must be [section], key = value or a comment");
                m_lines.at(static_cast<std::size_t>(line) - 1).clear();
            }
        }

        void assign(std::string_view section, std::string_view key, std::string_view value)
        {
            const int line = m_source.lineNumber();
            const std::string name = std::string(section) + "." + std::string(key);
            const Setting* setting = m_table.find(section, key);
            if (setting == nullptr) {
                report(line, name, describeUnknown(section));
                return;
            }
            const auto [assigned, isNew] = m_assigned.try_emplace(name, value);
            if (!isNew) {
                // A template's section for a table is repeated for each entry of the table.
                if (assigned->second != value)
                    report(line, name, "is given more than once, with different values");
                return;
            }
            // A template's placeholder is replaced by nothing if its value does not exist.
            if (value.empty() && !setting->spec.required && isNumber(setting->target))
                return;
            if (!assignSetting(setting->spec, setting->target, value)) {
                report(line, name,
                    "is \"" + std::string(value) + "\" but must be "
                        + allowedValues(setting->spec, setting->target));
            }
        }

        std::string describeUnknown(std::string_view section) const
        {
            const bool isKnownSection = m_table.hasSection(section);
            std::string text
                = isKnownSection ? "unknown key; known keys of this section:"
                                 : "unknown section; known sections:";
            std::set<std::string> names;
            for (const Setting& setting : m_table.settings()) {
                if (!isKnownSection)
                    names.insert(setting.spec.section);
                else if (setting.spec.section == section)
                    names.insert(setting.spec.key);
            }
            for (const std::string& name : names)
                text += " " + name;
            return text;
        }

        void checkRequired()
        {
            for (const Setting& setting : m_table.settings()) {
                if (setting.spec.required && m_assigned.count(setting.name()) == 0) {
                    report(0, setting.name(),
                        "must be set to " + allowedValues(setting.spec, setting.target));
                }
            }
        }

        void checkRules()
        {
            for (const SettingsRule& rule : m_table.rules()) {
                if (!rule.isSatisfied())
                    report(0, rule.name, "must be " + rule.allowed);
            }
        }

        std::vector<std::string> m_lines;
        std::string m_file;
        const SettingsTable& m_table;
        LineSource m_source { m_lines };
        // Values by name of the setting.
        std::map<std::string, std::string> m_assigned;
        std::vector<SettingsProblem> m_problems;
    };

}

void loadSettingsText(const std::string& text, const std::string& file, const SettingsTable& table)
{
    SettingsReader(splitLines(text), file, table).read();
}

void loadSettings(const std::string& file, const SettingsTable& table)
{
    std::ifstream stream(file);
    if (!stream)
        throw SettingsError({ { file, 0, "", "can't be read" } });
    std::ostringstream text;
    text << stream.rdbuf();
    loadSettingsText(text.str(), file, table);
}

}
