#include "ctl/cataloguefile.h"

#include "ctl/commandresult.h"
#include "libapricot/jsonfields.h"

#include <boost/json/parse.hpp>
#include <boost/system/system_error.hpp>

#include <fstream>
#include <map>
#include <sstream>

namespace Apricot {

namespace {

    std::vector<CatalogueObject> readFile(const std::string& file)
    {
        std::ifstream stream(file);
        if (!stream)
            throw CommandError(ExitCode::Invalid, file + ": can't be read");
        std::ostringstream text;
        text << stream.rdbuf();
        try {
            return parseCatalogueObjects(boost::json::parse(text.str()));
        } catch (const CatalogueError& error) {
            throw CommandError(ExitCode::Invalid, file + ": " + error.what());
        } catch (const boost::system::system_error& error) {
            throw CommandError(ExitCode::Invalid, file + ": no JSON: " + error.code().message());
        }
    }

    // Files that were read so far, and what was wrong with them.
    class Reading {
    public:
        void add(const std::string& file)
        {
            try {
                for (CatalogueObject& object : readFile(file))
                    addObject(file, std::move(object));
            } catch (const CommandError& error) {
                m_problems += std::string(error.what()) + "\n";
            }
        }

        std::vector<CatalogueObject> finish()
        {
            if (!m_problems.empty()) {
                m_problems.pop_back();
                throw CommandError(ExitCode::Invalid, m_problems);
            }
            return std::move(m_objects);
        }

    private:
        void addObject(const std::string& file, CatalogueObject object)
        {
            const std::string key = platformKey(object);
            const auto [earlier, isNew] = m_fileOfKey.emplace(key, file);
            if (!isNew) {
                throw CommandError(
                    ExitCode::Invalid, file + ": " + key + " stands in " + earlier->second + " too");
            }
            m_objects.push_back(std::move(object));
        }

        std::vector<CatalogueObject> m_objects;
        std::map<std::string, std::string> m_fileOfKey;
        std::string m_problems;
    };

}

std::vector<CatalogueObject> readCatalogueFiles(const std::vector<std::string>& files)
{
    Reading reading;
    for (const std::string& file : files)
        reading.add(file);
    return reading.finish();
}

}
