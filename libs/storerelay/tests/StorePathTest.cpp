#include "storerelay/StorePath.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using Answer = StorePath::Answer;
using Route = StorePath::Route;

static const absl::Time Start = absl::FromUnixSeconds(1000);

// Guards against callers being refused although another host is served.
TEST(StorePathTest, RefusalLeadsToPeers) {
  StorePath Path;
  EXPECT_EQ(Path.route(true, Start), Route::Direct);
  Path.directAnswered(Answer::Refused);
  EXPECT_EQ(Path.route(true, Start), Route::Peer);
  EXPECT_EQ(Path.route(false, Start), Route::Direct);
}

// Guards against a detour after every answer that is lost on a good path.
TEST(StorePathTest, OneMissingAnswerChangesNothing) {
  StorePath Path;
  Path.directAnswered(Answer::Missing);
  EXPECT_EQ(Path.route(true, Start), Route::Direct);
  Path.directAnswered(Answer::Served);
  Path.directAnswered(Answer::Missing);
  EXPECT_EQ(Path.route(true, Start), Route::Direct);
  Path.directAnswered(Answer::Missing);
  EXPECT_EQ(Path.route(true, Start), Route::Peer);
}

// Guards against a host that never goes back to the direct path.
TEST(StorePathTest, ProbesBringTheDirectPathBack) {
  StorePath Path;
  EXPECT_FALSE(Path.takeProbe(Start));
  Path.directAnswered(Answer::Refused);
  EXPECT_TRUE(Path.takeProbe(Start));
  EXPECT_FALSE(Path.takeProbe(Start + StorePath::ProbeInterval / 2));
  EXPECT_TRUE(Path.takeProbe(Start + StorePath::ProbeInterval));
  Path.directAnswered(Answer::Served);
  EXPECT_EQ(Path.route(true, Start), Route::Direct);
}

// Guards against callers that are held for a store that answers nobody, and
// against a wait after it has come back.
TEST(StorePathTest, SilentStoreIsOnlyProbed) {
  StorePath Path;
  Path.directAnswered(Answer::Missing);
  Path.directAnswered(Answer::Missing);
  EXPECT_EQ(Path.route(false, Start), Route::None);
  EXPECT_EQ(Path.route(true, Start), Route::Peer);
  Path.peerAnswered(Answer::Missing, Start);
  EXPECT_EQ(Path.route(true, Start), Route::Peer);
  Path.peerAnswered(Answer::Missing, Start);
  EXPECT_EQ(Path.route(true, Start), Route::None);
  Path.directAnswered(Answer::Served);
  EXPECT_EQ(Path.route(true, Start), Route::Direct);
}

// Guards against hosts that keep asking each other while the store is down.
TEST(StorePathTest, PeersRestAfterTheyHaveRefused) {
  StorePath Path;
  Path.directAnswered(Answer::Refused);
  Path.peersNotServed(Start);
  EXPECT_EQ(Path.route(true, Start), Route::Direct);
  EXPECT_EQ(Path.route(true, Start + StorePath::PeerRest), Route::Peer);
}
