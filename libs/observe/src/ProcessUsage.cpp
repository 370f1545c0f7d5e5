#include "observe/ProcessUsage.h"

#include <filesystem>
#include <fstream>
#include <system_error>
#include <unistd.h>

namespace vanillayard {

ProcessUsage ProcessUsage::read() {
  ProcessUsage Usage;
  std::ifstream Statm("/proc/self/statm");
  int64_t TotalPages = 0;
  int64_t ResidentPages = 0;
  if (Statm >> TotalPages >> ResidentPages)
    Usage.ResidentBytes = ResidentPages * sysconf(_SC_PAGESIZE);
  std::error_code Error;
  std::filesystem::directory_iterator Descriptors("/proc/self/fd", Error);
  if (!Error) {
    int64_t Count = 0;
    for (const auto &Entry : Descriptors) {
      (void)Entry;
      ++Count;
    }
    Usage.OpenDescriptors = Count;
  }
  return Usage;
}

} // namespace vanillayard
