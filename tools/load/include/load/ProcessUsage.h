#ifndef VANILLAYARD_LOAD_PROCESSUSAGE_H
#define VANILLAYARD_LOAD_PROCESSUSAGE_H

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string_view>
#include <sys/types.h>

namespace vanillayard {

/// Resource usage of a process, from /proc/PID/stat and /proc/PID/io.
struct ProcessUsage {
  /// User and system time since the process started, in steps of a clock tick
  /// (10 ms).
  absl::Duration ProcessorTime;
  int64_t ResidentBytes = 0;
  /// Bytes passed through read and write calls since the process started. For a
  /// daemon that writes no files, these are mostly the bytes of its
  /// connections.
  int64_t BytesRead = 0;
  int64_t BytesWritten = 0;

  /// Errors: NotFound if there is no such process.
  static absl::StatusOr<ProcessUsage> of(pid_t Pid);

  /// Parses the content of both files. Errors: InvalidArgument if a field is
  /// missing or not a number.
  static absl::StatusOr<ProcessUsage> parse(std::string_view Stat,
                                            std::string_view Io);
};

} // namespace vanillayard

#endif
