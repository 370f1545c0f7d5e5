#ifndef VANILLAYARD_TESTING_TEMPORARYFOLDER_H
#define VANILLAYARD_TESTING_TEMPORARYFOLDER_H

#include <string>
#include <string_view>

namespace vanillayard {

/// A new folder for the files of a test. The constructor aborts the test
/// program if it cannot create it; the destructor removes it with its files.
class TemporaryFolder {
public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder &) = delete;
  TemporaryFolder &operator=(const TemporaryFolder &) = delete;

  /// Path of a file in the folder; the file need not exist.
  std::string file(std::string_view Name) const;
  /// Creates or overwrites a file and returns its path.
  std::string write(std::string_view Name, std::string_view Text) const;

private:
  std::string Path;
};

} // namespace vanillayard

#endif
