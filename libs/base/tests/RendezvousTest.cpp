#include "base/Rendezvous.h"
#include "base/Ids.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace vanillayard;

// Guards against moving keys between the remaining hosts when one host leaves,
// and against an uneven distribution of keys.
TEST(RendezvousTest, OnlyTheKeysOfTheLeavingHostMove) {
  std::vector<HostId> Hosts = {HostId("a"), HostId("b"), HostId("c"),
                               HostId("d")};
  std::vector<HostId> Rest = {HostId("a"), HostId("b"), HostId("c")};
  int Counts[4] = {};
  for (int I = 0; I < 4000; ++I) {
    std::string Key = "key" + std::to_string(I);
    int Winner = rendezvousWinner<HostId>(Key, Hosts);
    ++Counts[Winner];
    if (Winner != 3) {
      EXPECT_EQ(rendezvousWinner<HostId>(Key, Rest), Winner);
    }
  }
  for (int Count : Counts)
    EXPECT_NEAR(Count, 1000, 150);
}

// Guards against a valid index for an empty list of candidates.
TEST(RendezvousTest, NoCandidates) {
  EXPECT_EQ(rendezvousWinner<HostId>("key", {}), -1);
}
