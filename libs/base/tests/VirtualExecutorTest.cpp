#include "base/VirtualExecutor.h"

#include <gtest/gtest.h>

#include <vector>

using namespace vanillayard;

// Guards against timers that run out of order or after they were cancelled, and
// against posted work that runs only after later timers.
TEST(VirtualExecutorTest, RunsTimersInOrderOfTheirTimes) {
  VirtualExecutor Exec;
  std::vector<int> Order;
  Exec.runAfter(absl::Seconds(2), [&] { Order.push_back(2); });
  Exec.runAfter(absl::Seconds(1), [&] {
    Order.push_back(1);
    Exec.post([&] { Order.push_back(10); });
  });
  auto Cancelled = Exec.runAfter(absl::Seconds(1), [&] { Order.push_back(9); });
  Exec.cancel(Cancelled);
  Exec.advance(absl::Seconds(3));
  EXPECT_EQ(Order, (std::vector<int>{1, 10, 2}));
  EXPECT_EQ(Exec.pendingTimers(), 0u);
}
