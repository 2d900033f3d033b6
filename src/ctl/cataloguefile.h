#pragma once

#include "libapricot/catalogueobject.h"

#include <string>
#include <vector>

namespace Apricot {

// Reads the objects of several catalogue files in order and checks each of them. Throws CommandError
// with ExitCode::Invalid and a message that lists every invalid file.
std::vector<CatalogueObject> readCatalogueFiles(const std::vector<std::string>& files);

}
