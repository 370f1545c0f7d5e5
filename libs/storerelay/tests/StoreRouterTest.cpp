#include "storerelay/StoreRouter.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Outcome = StoreRouter::Outcome;
using Route = StoreRouter::Route;

static const absl::Time Start = absl::FromUnixSeconds(1000);

// Guards against refusing callers while the store serves another host.
TEST(StoreRouterTest, RefusalSelectsPeerRoute) {
  StoreRouter Router;
  EXPECT_EQ(Router.route(true, Start), Route::Direct);
  Router.recordDirectOutcome(Outcome::Refused);
  EXPECT_EQ(Router.route(true, Start), Route::Peer);
  EXPECT_EQ(Router.route(false, Start), Route::Direct);
}

// Guards against calling through peers after every single lost answer.
TEST(StoreRouterTest, OneUnansweredCallKeepsDirectRoute) {
  StoreRouter Router;
  Router.recordDirectOutcome(Outcome::Unanswered);
  EXPECT_EQ(Router.route(true, Start), Route::Direct);
  Router.recordDirectOutcome(Outcome::Served);
  Router.recordDirectOutcome(Outcome::Unanswered);
  EXPECT_EQ(Router.route(true, Start), Route::Direct);
  Router.recordDirectOutcome(Outcome::Unanswered);
  EXPECT_EQ(Router.route(true, Start), Route::Peer);
}

// Guards against a host that never returns to the direct route.
TEST(StoreRouterTest, ServedProbeRestoresDirectRoute) {
  StoreRouter Router;
  EXPECT_FALSE(Router.startProbeIfDue(Start));
  Router.recordDirectOutcome(Outcome::Refused);
  EXPECT_TRUE(Router.startProbeIfDue(Start));
  EXPECT_FALSE(Router.startProbeIfDue(Start + StoreRouter::ProbeInterval / 2));
  EXPECT_TRUE(Router.startProbeIfDue(Start + StoreRouter::ProbeInterval));
  Router.recordDirectOutcome(Outcome::Served);
  EXPECT_EQ(Router.route(true, Start), Route::Direct);
}

// Guards against callers that wait for a store that answers no host, and
// against a delay before direct calls resume once the store answers again.
TEST(StoreRouterTest, UnresponsiveStoreIsOnlyProbed) {
  StoreRouter Router;
  Router.recordDirectOutcome(Outcome::Unanswered);
  Router.recordDirectOutcome(Outcome::Unanswered);
  EXPECT_EQ(Router.route(false, Start), Route::None);
  EXPECT_EQ(Router.route(true, Start), Route::Peer);
  Router.recordPeerOutcome(Outcome::Unanswered, Start);
  EXPECT_EQ(Router.route(true, Start), Route::Peer);
  Router.recordPeerOutcome(Outcome::Unanswered, Start);
  EXPECT_EQ(Router.route(true, Start), Route::None);
  Router.recordDirectOutcome(Outcome::Served);
  EXPECT_EQ(Router.route(true, Start), Route::Direct);
}

// Guards against hosts that keep asking each other while the store is down.
TEST(StoreRouterTest, PeersAreNotAskedDuringBackoff) {
  StoreRouter Router;
  Router.recordDirectOutcome(Outcome::Refused);
  Router.startPeerBackoff(Start);
  EXPECT_EQ(Router.route(true, Start), Route::Direct);
  EXPECT_EQ(Router.route(true, Start + StoreRouter::PeerBackoff), Route::Peer);
}
