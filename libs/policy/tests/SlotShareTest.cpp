#include "policy/SlotShare.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against several hosts that each fill all slots at the start of a flood
// of requests.
TEST(SlotShareTest, StartsWithAnEqualShare) {
  SlotShare Share;
  absl::Time Now = absl::FromUnixSeconds(1000);
  EXPECT_DOUBLE_EQ(Share.update({.Hosts = 3, .IsBinding = true}, Now), 1.0 / 3);
}

// Guards against slots that stay idle while only one host has work.
TEST(SlotShareTest, GrowsWhileOthersLeaveSlotsFree) {
  SlotShare Share;
  absl::Time Now = absl::FromUnixSeconds(1000);
  SlotShare::Sample Alone = {
      .Hosts = 2, .FreeShare = 0.5, .UrgentReserve = 0.125, .IsBinding = true};
  for (int I = 0; I <= 20; ++I)
    Share.update(Alone, Now + absl::Seconds(I));
  EXPECT_DOUBLE_EQ(Share.value(), 1);

  SlotShare::Sample Contended = Alone;
  Contended.OtherHostsWithBacklog = 1;
  EXPECT_DOUBLE_EQ(Share.update(Contended, Now + absl::Seconds(21)), 0.5);
}

// Guards against growth into the slots that are reserved for urgent work.
// Without waiting requests, the share is the equal share.
TEST(SlotShareTest, StopsAtTheReserveAndFallsBackWithoutDemand) {
  SlotShare Share;
  absl::Time Now = absl::FromUnixSeconds(1000);
  SlotShare::Sample Full = {
      .Hosts = 2, .FreeShare = 0.1, .UrgentReserve = 0.125, .IsBinding = true};
  for (int I = 0; I <= 20; ++I)
    Share.update(Full, Now + absl::Seconds(I));
  EXPECT_DOUBLE_EQ(Share.value(), 0.5);
  Full.IsBinding = false;
  EXPECT_DOUBLE_EQ(Share.update(Full, Now + absl::Seconds(30)), 0.5);
}
