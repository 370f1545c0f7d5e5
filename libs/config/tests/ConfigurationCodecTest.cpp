#include "config/ConfigurationCodec.h"

#include "DocumentMutations.h"

#include "base/ErrorKind.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace vanillayard;
using nlohmann::json;

static absl::Status decodeStatus(const std::string &Text) {
  return ConfigurationCodec::decode(Text).status();
}

// Guards against an invalid value that is accepted, and against an error that
// does not tell the operator where and what is wrong.
TEST(ConfigurationCodecTest, EveryInvalidValueIsRefusedAndExplained) {
  expectEveryMutationRefused(readSample("configuration.json"), decodeStatus);
}

// Guards against a value that is read from or written to the wrong property:
// every value differs from its default.
TEST(ConfigurationCodecTest, EncodeAndDecodeKeepEveryValue) {
  json Document = json::parse(readSample("configuration.json"));
  Document["generation"] = 7;
  Document["preset_in_force"] = "peak";
  Document["accounts"][0]["weight"] = 2.5;
  Document["accounts"][0]["accelerator_quota"] = 99;
  Document["accounts"][0]["max_queued"] = 123;
  Document["limits"] = {{"max_body_bytes", 2048},
                        {"max_queued", 17},
                        {"retry_budget", 0.25},
                        {"reclaim_grace_ms", 6001},
                        {"max_gang_wait_ms", 7002}};
  auto Config = ConfigurationCodec::decode(Document.dump());
  ASSERT_TRUE(Config.ok()) << Config.status();
  EXPECT_EQ(json::parse(ConfigurationCodec::encode(*Config)), Document);
  EXPECT_EQ(Config->activePreset().UrgentReserve, 0.25);
  EXPECT_EQ(Config->findKind(KindOfWorkId("price-check"))->UrgencyLevel,
            Urgency::Urgent);
  EXPECT_EQ(Config->findAccount(ClientAccountId("kalahari"))->MaxQueued, 123);
  EXPECT_EQ(Config->findAccount(ClientAccountId("other")), nullptr);
  EXPECT_EQ(Config->Bounds.ReclaimGrace, absl::Milliseconds(6001));
}

// Guards against values that are valid one by one but contradict each other,
// and against an error that does not describe the contradiction.
TEST(ConfigurationCodecTest, ContradictingValuesAreRefusedAndExplained) {
  struct Case {
    const char *Pointer;
    json Value;
    const char *Message;
  };
  const Case Cases[] = {
      {"/preset_in_force", "holiday",
       "preset_in_force: is \"holiday\"; must be the name of a preset"},
      {"/accounts/1/name", "kalahari",
       "accounts[1].name: \"kalahari\" is used twice"},
      {"/kinds/1/name", "price-check",
       "kinds[1].name: \"price-check\" is used twice"},
      {"/presets/2/name", "peak", "presets[2].name: \"peak\" is used twice"},
      {"/accounts/0/accelerator_quota", 39,
       "accounts[0].accelerator_quota: is 39; must be 0 or at least the 40 "
       "accelerators that are guaranteed"},
      {"/accounts/0/guarantees/1/accelerators_per_cell", 4,
       "accounts[0].guarantees[1].accelerators_per_cell: is 4; must be 8 "
       "accelerators for a cell of 2 workers"},
      {"/accounts/0/guarantees/1",
       {{"data_centre", "dc1"}, {"accelerators_per_cell", 4}, {"count", 1}},
       "accounts[0].guarantees[1]: has the shape and data centre of an "
       "earlier one"},
      {"/accounts", json::array(),
       "accounts: has 0 elements; must be an array of 1 to 1000 elements"},
  };
  for (const Case &C : Cases) {
    json Document = json::parse(readSample("configuration.json"));
    Document[json::json_pointer(C.Pointer)] = C.Value;
    absl::Status Status = decodeStatus(Document.dump());
    EXPECT_EQ(errorKindOf(Status), ErrorKind::InvalidRequest) << C.Pointer;
    EXPECT_NE(std::string(Status.message()).find(C.Message), std::string::npos)
        << Status;
  }
}

// Guards against text that is accepted although it is not JSON, not an object,
// too long, or has a duplicate property.
TEST(ConfigurationCodecTest, MalformedTextIsRefused) {
  EXPECT_FALSE(decodeStatus("").ok());
  EXPECT_FALSE(decodeStatus("{").ok());
  EXPECT_FALSE(decodeStatus("[]").ok());
  EXPECT_FALSE(decodeStatus(std::string(1000001, ' ')).ok());
  // The parser alone would silently use the second of the two values.
  absl::Status Twice = decodeStatus(R"({"generation":1,"generation":2})");
  EXPECT_EQ(Twice.message(), "generation: is given twice in one object");
}

// Guards against an invalid configuration that was built in code and not
// decoded.
TEST(ConfigurationCodecTest, ValidateChecksAConfigurationMadeInCode) {
  Configuration Config;
  EXPECT_FALSE(ConfigurationCodec::validate(Config).ok());
  Config = *ConfigurationCodec::decode(readSample("configuration.json"));
  EXPECT_TRUE(ConfigurationCodec::validate(Config).ok());
  Config.Accounts[0].Weight = -1;
  EXPECT_FALSE(ConfigurationCodec::validate(Config).ok());
}
