#include "storerelay/RelayCodec.h"

#include "base/ErrorKind.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace vanillayard;

TEST(RelayCodecTest, CallsKeepAllMembers) {
  StoreCall Call;
  Call.Id = 7;
  Call.Operation = StoreOperation::Commit;
  Call.Transaction.Conditions = {{"a", 0}, {"b", 12}};
  Call.Transaction.Puts = {{"a", std::string("\0\xff", 2), 5}, {"b", "", 0}};
  Call.Transaction.Removes = {"c"};
  auto Bytes = RelayCodec::encode(Call);
  ASSERT_TRUE(Bytes.ok());
  auto Read = RelayCodec::decodeCall(*Bytes);
  ASSERT_TRUE(Read.ok());
  EXPECT_EQ(Read->Id, 7);
  EXPECT_EQ(Read->Operation, StoreOperation::Commit);
  ASSERT_EQ(Read->Transaction.Conditions.size(), 2U);
  EXPECT_EQ(Read->Transaction.Conditions[1].Key, "b");
  EXPECT_EQ(Read->Transaction.Conditions[1].Revision, 12);
  ASSERT_EQ(Read->Transaction.Puts.size(), 2U);
  EXPECT_EQ(Read->Transaction.Puts[0].Value, std::string("\0\xff", 2));
  EXPECT_EQ(Read->Transaction.Puts[0].Lease, 5);
  EXPECT_EQ(Read->Transaction.Removes, std::vector<std::string>{"c"});
}

TEST(RelayCodecTest, RepliesKeepAllMembers) {
  StoreReply Reply;
  Reply.Id = 9;
  Reply.IsApplied = true;
  Reply.Revision = 33;
  Reply.Lease = 4;
  Reply.Items = {{{"k", "v", 31, 33}, false}, {{"gone", "", 32, 0}, true}};
  auto Bytes = RelayCodec::encode(Reply);
  ASSERT_TRUE(Bytes.ok());
  auto Read = RelayCodec::decodeReply(*Bytes);
  ASSERT_TRUE(Read.ok());
  EXPECT_TRUE(Read->Status.ok());
  EXPECT_TRUE(Read->IsApplied);
  EXPECT_EQ(Read->Revision, 33);
  EXPECT_EQ(Read->Lease, 4);
  ASSERT_EQ(Read->Items.size(), 2U);
  EXPECT_EQ(Read->Items[0].Item.StoreRevision, 33);
  EXPECT_TRUE(Read->Items[1].IsDeleted);
}

// Guards against a requesting host that takes an unknown outcome for a refusal
// and repeats a call that may have been executed.
TEST(RelayCodecTest, ErrorsKeepTheirKind) {
  for (const ErrorKindInfo &Row : errorKindTable()) {
    StoreReply Reply;
    Reply.Status = makeError(Row.Kind, "why");
    auto Bytes = RelayCodec::encode(Reply);
    ASSERT_TRUE(Bytes.ok());
    auto Read = RelayCodec::decodeReply(*Bytes);
    ASSERT_TRUE(Read.ok());
    EXPECT_EQ(errorKindOf(Read->Status), Row.Kind);
  }
}

// Guards against a host that ends because another program sent a call that the
// adapter of the store cannot encode, and against calls that never end.
TEST(RelayCodecTest, CallsThatTheStoreCannotTakeAreRejected) {
  auto Decodes = [](const StoreCall &Call) {
    auto Bytes = RelayCodec::encode(Call);
    return Bytes.ok() && RelayCodec::decodeCall(*Bytes).ok();
  };
  StoreCall Get;
  Get.Operation = StoreOperation::Get;
  Get.Key = "vy/leader";
  EXPECT_TRUE(Decodes(Get));
  for (const std::string &Key :
       {std::string("\xff"), std::string("a\0b", 3), std::string("a b"),
        std::string("a\r\nb"), std::string(201, 'k')}) {
    Get.Key = Key;
    EXPECT_FALSE(Decodes(Get));
    StoreCall Commit;
    Commit.Operation = StoreOperation::Commit;
    Commit.Transaction.Conditions = {{Key, 0}};
    EXPECT_FALSE(Decodes(Commit));
    Commit.Transaction = {};
    Commit.Transaction.Puts = {{Key, "v", 0}};
    EXPECT_FALSE(Decodes(Commit));
    Commit.Transaction = {};
    Commit.Transaction.Removes = {Key};
    EXPECT_FALSE(Decodes(Commit));
  }
  StoreCall Watch;
  Watch.Operation = StoreOperation::AwaitChanges;
  Watch.Key = "vy/job/";
  Watch.Duration = absl::Seconds(2);
  EXPECT_TRUE(Decodes(Watch));
  Watch.Duration = -absl::Milliseconds(1);
  EXPECT_FALSE(Decodes(Watch));
  Watch.Duration = absl::InfiniteDuration();
  EXPECT_FALSE(Decodes(Watch));
}

// Guards against a crash when an unknown client sends arbitrary bytes.
RC_GTEST_PROP(RelayCodecTest, ArbitraryBytesAreDecodedOrRejected,
              (const std::string &Bytes)) {
  auto Call = RelayCodec::decodeCall(Bytes);
  auto Reply = RelayCodec::decodeReply(Bytes);
  RC_ASSERT(Call.ok() || !Call.status().message().empty());
  RC_ASSERT(Reply.ok() || !Reply.status().message().empty());
}
