#include "testing/TemporaryFolder.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>

namespace vanillayard {

TemporaryFolder::TemporaryFolder() {
  std::error_code Error;
  std::string Template = std::filesystem::temp_directory_path(Error).string() +
                         "/vanillayard-XXXXXX";
  if (!mkdtemp(Template.data())) {
    std::perror("mkdtemp");
    std::abort();
  }
  this->Path = Template;
}

TemporaryFolder::~TemporaryFolder() {
  std::error_code Error;
  std::filesystem::remove_all(this->Path, Error);
}

std::string TemporaryFolder::file(std::string_view Name) const {
  return fmt::format("{}/{}", this->Path, Name);
}

std::string TemporaryFolder::write(std::string_view Name,
                                   std::string_view Text) const {
  std::string File = this->file(Name);
  std::ofstream(File, std::ios::trunc) << Text;
  return File;
}

} // namespace vanillayard
