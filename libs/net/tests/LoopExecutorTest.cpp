#include "net/LoopExecutor.h"

#include <gtest/gtest.h>

#include <vector>

using namespace vanillayard;

// Guards against timers that run early, twice, or after they were cancelled.
TEST(LoopExecutorTest, RunsPostedWorkAndTimers) {
  LoopExecutor Loop;
  std::vector<int> Order;
  absl::Time Start = Loop.now();
  Loop.runAfter(absl::Milliseconds(20), [&] {
    EXPECT_GE(Loop.now() - Start, absl::Milliseconds(20));
    Order.push_back(3);
    Loop.stop();
  });
  Loop.runAfter(absl::Milliseconds(5), [&] { Order.push_back(2); });
  auto Cancelled =
      Loop.runAfter(absl::Milliseconds(1), [&] { Order.push_back(9); });
  Loop.cancel(Cancelled);
  Loop.post([&] { Order.push_back(1); });
  Loop.run();
  EXPECT_EQ(Order, (std::vector<int>{1, 2, 3}));
}
