#include "observe/StandardOutput.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace vanillayard {

StandardOutput::StandardOutput() {
  int Flags = fcntl(STDOUT_FILENO, F_GETFL, 0);
  if (Flags >= 0)
    fcntl(STDOUT_FILENO, F_SETFL, Flags | O_NONBLOCK);
}

void StandardOutput::write(std::string_view Line) {
  std::string WithCount;
  if (this->DroppedSinceLine > 0) {
    WithCount = fmt::format("log lines were dropped count={}\n{}",
                            this->DroppedSinceLine, Line);
    Line = WithCount;
  }
  // A write of at most PIPE_BUF bytes to a pipe is atomic, and lines are
  // usually shorter.
  ssize_t Written = ::write(STDOUT_FILENO, Line.data(), Line.size());
  if (Written == static_cast<ssize_t>(Line.size())) {
    this->DroppedSinceLine = 0;
    return;
  }
  ++this->Dropped;
  ++this->DroppedSinceLine;
}

} // namespace vanillayard
