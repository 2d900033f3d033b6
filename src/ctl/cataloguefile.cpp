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

    std::vector<CatalogueObject> parseFile(const std::string& file)
    {
        std::ifstream stream(file);
        if (!stream)
            throw CommandError(ExitCode::Invalid, file + ": file cannot be read");
        std::ostringstream text;
        text << stream.rdbuf();
        try {
            return parseCatalogueObjects(boost::json::parse(text.str()));
        } catch (const CatalogueError& error) {
            throw CommandError(ExitCode::Invalid, file + ": " + error.what());
        } catch (const boost::system::system_error& error) {
            throw CommandError(ExitCode::Invalid, file + ": invalid JSON: " + error.code().message());
        }
    }

    // Collects the objects and the errors of several files.
    class CatalogueFileReader {
    public:
        void read(const std::string& file)
        {
            try {
                for (CatalogueObject& object : parseFile(file))
                    addObject(file, std::move(object));
            } catch (const CommandError& error) {
                m_errors += std::string(error.what()) + "\n";
            }
        }

        std::vector<CatalogueObject> drainObjects()
        {
            if (!m_errors.empty()) {
                m_errors.pop_back();
                throw CommandError(ExitCode::Invalid, m_errors);
            }
            return std::move(m_objects);
        }

    private:
        void addObject(const std::string& file, CatalogueObject object)
        {
            const std::string key = platformKey(object);
            const auto [existing, isNew] = m_filesByKey.emplace(key, file);
            if (!isNew) {
                throw CommandError(
                    ExitCode::Invalid,
                    file + ": " + key + " is defined in " + existing->second + " as well");
            }
            m_objects.push_back(std::move(object));
        }

        std::vector<CatalogueObject> m_objects;
        std::map<std::string, std::string> m_filesByKey;
        std::string m_errors;
    };

}

std::vector<CatalogueObject> readCatalogueFiles(const std::vector<std::string>& files)
{
    CatalogueFileReader reader;
    for (const std::string& file : files)
        reader.read(file);
    return reader.drainObjects();
}

}
