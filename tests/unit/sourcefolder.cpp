#include "sourcefolder.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace {

const std::filesystem::path sourceFolder = APRICOT_SOURCE_FOLDER;

}

std::string readSourceFile(const std::string& path)
{
    std::ifstream stream(sourceFolder / path);
    if (!stream)
        throw std::runtime_error("cannot open source file " + path);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

std::vector<std::string> listSourceFolder(const std::string& folder, const std::string& extension)
{
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator(sourceFolder / folder)) {
        if (entry.path().extension() == extension)
            files.push_back(folder + "/" + entry.path().filename().string());
    }
    return files;
}
