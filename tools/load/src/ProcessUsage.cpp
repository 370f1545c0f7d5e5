#include "load/ProcessUsage.h"

#include "base/AbslView.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_split.h"
#include "absl/strings/strip.h"

#include <fmt/format.h>

#include <fstream>
#include <sstream>
#include <unistd.h>
#include <vector>

namespace vanillayard {

// Indexes of the fields after the process name, whose closing parenthesis ends
// field 2 in the numbering of proc(5): utime is field 14, stime 15, rss 24.
static constexpr size_t UserTimeField = 14 - 3;
static constexpr size_t SystemTimeField = 15 - 3;
static constexpr size_t ResidentField = 24 - 3;

static bool readIoField(std::string_view Io, std::string_view Name,
                        int64_t &Value) {
  for (absl::string_view Line : absl::StrSplit(abslView(Io), '\n'))
    if (absl::ConsumePrefix(&Line, abslView(Name)))
      return absl::SimpleAtoi(Line, &Value);
  return false;
}

absl::StatusOr<ProcessUsage> ProcessUsage::parse(std::string_view Stat,
                                                 std::string_view Io) {
  // The name may contain spaces and parentheses; the last closing parenthesis
  // ends it.
  size_t NameEnd = Stat.rfind(')');
  if (NameEnd == std::string_view::npos)
    return absl::InvalidArgumentError(
        "stat: no closing parenthesis of the process name");
  std::vector<std::string> Fields = absl::StrSplit(
      abslView(Stat.substr(NameEnd + 1)), ' ', absl::SkipEmpty());
  if (Fields.size() <= ResidentField)
    return absl::InvalidArgumentError("stat: fewer than 24 fields");
  int64_t User = 0;
  int64_t System = 0;
  int64_t Pages = 0;
  if (!absl::SimpleAtoi(Fields[UserTimeField], &User) ||
      !absl::SimpleAtoi(Fields[SystemTimeField], &System) ||
      !absl::SimpleAtoi(Fields[ResidentField], &Pages))
    return absl::InvalidArgumentError(
        "stat: utime, stime or rss is not a number");
  ProcessUsage Usage;
  Usage.ProcessorTime =
      absl::Seconds(static_cast<double>(User + System) /
                    static_cast<double>(sysconf(_SC_CLK_TCK)));
  Usage.ResidentBytes = Pages * sysconf(_SC_PAGESIZE);
  if (!readIoField(Io, "rchar: ", Usage.BytesRead) ||
      !readIoField(Io, "wchar: ", Usage.BytesWritten))
    return absl::InvalidArgumentError(
        "io: rchar or wchar is missing or not a number");
  return Usage;
}

static absl::StatusOr<std::string> readProc(pid_t Pid, const char *Name) {
  std::ifstream File(fmt::format("/proc/{}/{}", Pid, Name));
  std::stringstream Text;
  Text << File.rdbuf();
  if (!File)
    return absl::NotFoundError(
        fmt::format("cannot read /proc/{}/{}", Pid, Name));
  return Text.str();
}

absl::StatusOr<ProcessUsage> ProcessUsage::of(pid_t Pid) {
  absl::StatusOr<std::string> Stat = readProc(Pid, "stat");
  if (!Stat.ok())
    return Stat.status();
  absl::StatusOr<std::string> Io = readProc(Pid, "io");
  if (!Io.ok())
    return Io.status();
  return parse(*Stat, *Io);
}

} // namespace vanillayard
