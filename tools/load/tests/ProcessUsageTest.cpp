#include "load/ProcessUsage.h"

#include <gtest/gtest.h>

#include <unistd.h>

using namespace vanillayard;

// Guards against wrong field positions for a process name that contains spaces
// and parentheses.
TEST(ProcessUsageTest, ReadsTheFieldsAfterTheName) {
  const char *Stat = "7 (a) b (c) S 1 7 7 0 -1 4194304 100 0 0 0 150 50 0 0 20 "
                     "0 1 0 100 5000000 12 99";
  const char *Io = "rchar: 345\nwchar: 678\nsyscr: 1\n";
  auto Usage = ProcessUsage::parse(Stat, Io);
  ASSERT_TRUE(Usage.ok()) << Usage.status();
  EXPECT_EQ(Usage->ProcessorTime, absl::Seconds(200.0 / sysconf(_SC_CLK_TCK)));
  EXPECT_EQ(Usage->ResidentBytes, 12 * sysconf(_SC_PAGESIZE));
  EXPECT_EQ(Usage->BytesRead, 345);
  EXPECT_EQ(Usage->BytesWritten, 678);
  EXPECT_FALSE(ProcessUsage::parse("7 (a) S 1", Io).ok());
  EXPECT_FALSE(ProcessUsage::parse("", Io).ok());
  EXPECT_FALSE(ProcessUsage::parse(Stat, "rchar: x").ok());
}

TEST(ProcessUsageTest, ReadsThisProcess) {
  auto Usage = ProcessUsage::of(getpid());
  ASSERT_TRUE(Usage.ok()) << Usage.status();
  EXPECT_GT(Usage->ResidentBytes, 0);
}
