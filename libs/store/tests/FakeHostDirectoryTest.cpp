#include "store/testing/FakeHostDirectory.h"
#include "base/ErrorKind.h"
#include "base/VirtualExecutor.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against a fake that shows a new list before the lag has passed: tests
// of a late list would then pass without testing one.
TEST(FakeHostDirectoryTest, ListLagsAndFails) {
  VirtualExecutor Exec;
  FakeHostDirectory Directory(Exec);
  Directory.setLag(absl::Seconds(5));
  ListedHost Host;
  Host.Name = "w1";
  Directory.setHost(Host);
  absl::StatusOr<HostList> Answer = absl::UnknownError("none");
  auto Fetch = [&] {
    Directory.fetch(
        [&](absl::StatusOr<HostList> List) { Answer = std::move(List); });
    Exec.advance(absl::Milliseconds(1));
  };
  Fetch();
  ASSERT_TRUE(Answer.ok());
  EXPECT_TRUE(Answer->Hosts.empty());
  Exec.advance(absl::Seconds(5));
  Host.State = HostState::Leaving;
  Directory.setHost(Host);
  Fetch();
  ASSERT_EQ(Answer->Hosts.size(), 1u);
  EXPECT_EQ(Answer->Hosts[0].State, HostState::Live);
  Directory.setDown(true);
  Fetch();
  EXPECT_EQ(errorKindOf(Answer.status()), ErrorKind::PlatformUnavailable);
  EXPECT_EQ(Directory.fetchCount(), 3);
}
