#include "testing/Process.h"
#include "testing/TemporaryFolder.h"

#include <gtest/gtest.h>

#include <csignal>

using namespace vanillayard;

static absl::StatusOr<std::unique_ptr<Process>>
shell(const TemporaryFolder &Folder, const std::string &Script) {
  return Process::start("/bin/sh", {"-c", Script}, Folder.file("out.log"));
}

TEST(ProcessTest, ReadsAddressesAndExitCode) {
  TemporaryFolder Folder;
  auto Running = shell(Folder, "echo noise; echo listening 127.0.0.1:7 a; "
                               "echo listening 127.0.0.1:8; exit 3");
  ASSERT_TRUE(Running.ok()) << Running.status();
  auto Addresses = (*Running)->waitForListening(2);
  ASSERT_TRUE(Addresses.ok()) << Addresses.status();
  EXPECT_EQ((*Addresses)[0].Name, "a");
  EXPECT_EQ((*Addresses)[1].Address, Endpoint("127.0.0.1:8"));
  EXPECT_EQ((*Addresses)[1].Name, "");
  EXPECT_EQ(*(*Running)->waitForExit(), 3);
  EXPECT_FALSE((*Running)->waitForListening(3).ok());
}

TEST(ProcessTest, MissingProgramIsAnError) {
  TemporaryFolder Folder;
  EXPECT_FALSE(Process::start("/nonexistent", {}, Folder.file("x")).ok());
}

// Guards against a process that outlives the test that started it because it
// ignores SIGTERM or is paused.
TEST(ProcessTest, DestructorEndsAStoppedProgramThatIgnoresSigterm) {
  TemporaryFolder Folder;
  pid_t Id = 0;
  {
    auto Running = shell(Folder, "trap '' TERM; echo listening 1:1; "
                                 "while :; do sleep 0.1; done");
    ASSERT_TRUE(Running.ok()) << Running.status();
    ASSERT_TRUE((*Running)->waitForListening(1).ok());
    Id = (*Running)->id();
    (*Running)->terminate();
    (*Running)->pause();
    EXPECT_EQ(::kill(Id, 0), 0);
  }
  EXPECT_NE(::kill(Id, 0), 0);
}
