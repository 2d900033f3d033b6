#pragma once

#include <string>
#include <vector>

// Returns the contents of a source file. The path is relative to the root of the source tree.
// Throws std::runtime_error if the file cannot be opened.
std::string readSourceFile(const std::string& path);
// Returns the files with this extension in a folder, without its subfolders. All paths are relative
// to the root of the source tree.
std::vector<std::string> listSourceFolder(const std::string& folder, const std::string& extension);
