#include "libapricot/portfile.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Apricot {

void writePortFile(const std::string& file, const std::map<std::string, std::uint16_t>& ports)
{
    const std::string temporaryFile = file + ".new";
    std::ofstream stream(temporaryFile, std::ios::trunc);
    stream << boost::json::serialize(boost::json::value_from(ports)) << "\n";
    stream.close();
    if (!stream)
        throw std::runtime_error("can't write port file " + temporaryFile);
    std::filesystem::rename(temporaryFile, file);
}

}
