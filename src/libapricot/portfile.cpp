#include "libapricot/portfile.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value_from.hpp>

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace Apricot {

void writePortFile(const std::string& file, const std::map<std::string, std::uint16_t>& ports)
{
    const std::string draft = file + ".new";
    std::ofstream stream(draft, std::ios::trunc);
    stream << boost::json::serialize(boost::json::value_from(ports)) << "\n";
    stream.close();
    if (!stream)
        throw std::runtime_error("can't write " + draft);
    std::filesystem::rename(draft, file);
}

}
