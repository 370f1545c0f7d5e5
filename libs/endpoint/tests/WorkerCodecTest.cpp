#include "endpoint/WorkerCodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace vanillayard;
using namespace worker_codec;

// Guards against a change of the JSON text on the wire. The contract test
// cannot detect one, because both of its sides use this codec.
TEST(WorkerCodecTest, StatusIsEncodedAsSpecified) {
  LeaseReport Lease;
  Lease.Lease = LeaseId("l1");
  Lease.Owner = "job-1";
  Lease.Account = ClientAccountId("glide");
  Lease.Kind = KindOfWorkId("cut-sheet");
  Lease.Slots = 2;
  Lease.Accelerators = {4, 5};
  Lease.Holder = Epoch{7, HostId("h1")};
  Lease.GangSize = 4;
  Lease.Member = 3;
  Lease.Reclaimable = true;
  Lease.State = LeaseState::Running;
  Lease.RunTime = absl::Milliseconds(1500);
  Lease.Checkpointed = true;
  WorkerStatus Status;
  Status.Worker = WorkerId("w1");
  Status.Rack = RackId("r1");
  Status.Incarnation = "w1.2";
  Status.Draining = true;
  Status.Slots = 8;
  Status.FreeSlots = 6;
  Status.Connections = 64;
  Status.FreeConnections = 63;
  Status.Accelerators = 8;
  Status.Leases = {Lease};
  Status.Usage = 0.25;
  Status.UsageLag = absl::Seconds(2);
  std::string Text = toText(encode(Status));
  EXPECT_EQ(Text,
            "{\"accelerators\":8,\"connections\":64,\"draining\":true,"
            "\"free_connections\":63,\"free_slots\":6,\"incarnation\":\"w1.2\","
            "\"leases\":[{\"accelerators\":[4,5],\"account\":\"glide\","
            "\"checkpointed\":true,\"epoch\":[7,\"h1\"],\"gang_size\":4,"
            "\"kind\":\"cut-sheet\",\"lease\":\"l1\",\"member\":3,"
            "\"owner\":\"job-1\",\"reclaimable\":true,\"run_ms\":1500,"
            "\"slots\":2,\"state\":\"running\"}],\"rack\":\"r1\",\"slots\":8,"
            "\"usage\":0.25,\"usage_lag_ms\":2000,\"worker\":\"w1\"}");
  auto Decoded = decodeStatus(fromText(Text));
  ASSERT_TRUE(Decoded);
  EXPECT_EQ(toText(encode(*Decoded)), Text);
}

// Guards against decoding a malformed answer as a valid one.
TEST(WorkerCodecTest, MalformedMessagesAreRejected) {
  for (const char *Text :
       {"", "[]", "{}", "{\"lease\":1,\"state\":\"held\"}",
        "{\"lease\":\"l\",\"state\":\"odd\"}",
        "{\"lease\":\"l\",\"state\":\"held\",\"slots\":\"1\"}",
        "{\"lease\":\"l\",\"state\":\"held\",\"slots\":4294967297}",
        "{\"lease\":\"l\",\"state\":\"held\",\"slots\":-1}",
        "{\"lease\":\"l\",\"state\":\"held\",\"accelerators\":[-1]}",
        "{\"lease\":\"l\",\"state\":\"held\",\"epoch\":[1]}",
        "{\"lease\":\"l\",\"state\":\"held\",\"accelerators\":[null]}"})
    EXPECT_FALSE(decodeLeaseReport(fromText(Text))) << Text;
  EXPECT_FALSE(decodeStatus(fromText("{\"worker\":\"w\",\"rack\":\"r\","
                                     "\"incarnation\":\"i\",\"leases\":[1]}")));
  EXPECT_FALSE(unescape("%4"));
  EXPECT_FALSE(unescape("%zz"));
  EXPECT_EQ(unescape(escape("a/b ?%\xff")), "a/b ?%\xff");
}
