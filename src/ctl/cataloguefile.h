#pragma once

#include "libapricot/catalogueobject.h"

#include <string>
#include <vector>

namespace Apricot {

// The objects of several catalogue files in their order, each checked. Throws CommandError with
// ExitCode::Invalid, listing every file that is not valid.
std::vector<CatalogueObject> readCatalogueFiles(const std::vector<std::string>& files);

}
