#include "observe/StandardOutput.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <fcntl.h>
#include <string>
#include <unistd.h>

using namespace vanillayard;

namespace {

/// Replaces standard output by a pipe that is read only by drain().
class PipedOutput {
public:
  PipedOutput() {
    std::fflush(stdout);
    this->Saved = dup(STDOUT_FILENO);
    EXPECT_EQ(pipe(this->Ends), 0);
    dup2(this->Ends[1], STDOUT_FILENO);
  }
  ~PipedOutput() {
    dup2(this->Saved, STDOUT_FILENO);
    close(this->Saved);
    close(this->Ends[0]);
    close(this->Ends[1]);
  }

  /// Reads all bytes that the pipe holds.
  std::string drain() {
    fcntl(this->Ends[0], F_SETFL, O_NONBLOCK);
    std::string Text;
    char Buffer[4096];
    for (ssize_t Size = 0;
         (Size = read(this->Ends[0], Buffer, sizeof(Buffer))) > 0;)
      Text.append(Buffer, static_cast<size_t>(Size));
    return Text;
  }

private:
  int Saved = -1;
  int Ends[2] = {-1, -1};
};

} // namespace

// Guards against writes that block because no process reads the log.
TEST(StandardOutputTest, FullPipeDropsAndCountsLines) {
  const std::string Line = std::string(99, 'x') + "\n";
  uint64_t Dropped = 0;
  std::string After;
  {
    PipedOutput Pipe;
    StandardOutput Output;
    for (int I = 0; I < 5000; ++I)
      Output.write(Line);
    Dropped = Output.droppedLines();
    std::string Held = Pipe.drain();
    Output.write(Line);
    After = Pipe.drain();
    EXPECT_EQ(Held.size() % Line.size(), 0U) << "a line was cut";
  }
  EXPECT_GT(Dropped, 0U);
  EXPECT_LT(Dropped, 5000U);
  EXPECT_NE(After.find(std::to_string(Dropped)), std::string::npos) << After;
}
