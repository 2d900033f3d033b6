#pragma once

#include <string>
#include <vector>

// Text of a file of the source tree, by its path from the root. Throws std::runtime_error.
std::string readSourceFile(const std::string& path);
// Paths from the root of the files in a folder of the source tree with this extension.
std::vector<std::string> listSourceFolder(const std::string& folder, const std::string& extension);
