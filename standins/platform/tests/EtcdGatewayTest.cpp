#include "standin_platform/EtcdGateway.h"
#include "base/VirtualExecutor.h"
#include "standin_platform/HostListState.h"
#include "standin_platform/LeaseTable.h"
#include "standin_platform/PlatformFaults.h"

#include "absl/strings/escaping.h"

#include <gtest/gtest.h>

using namespace vanillayard;
using nlohmann::json;

namespace {

class EtcdGatewayTest : public testing::Test {
protected:
  json call(const std::string &Path, const json &Request, int64_t StaleBy = 0) {
    auto Answer = this->Gateway.call(Path, Request, StaleBy);
    return Answer.ok() ? *Answer : json(std::string(Answer.status().message()));
  }
  void put(const std::string &Key, const std::string &Value,
           int64_t Lease = 0) {
    this->call("/v3/kv/put", {{"key", absl::Base64Escape(Key)},
                              {"value", absl::Base64Escape(Value)},
                              {"lease", std::to_string(Lease)}});
  }
  bool compares(json Compare) {
    Compare["key"] = absl::Base64Escape("a");
    json Answer = this->call("/v3/kv/txn",
                             {{"compare", json::array({std::move(Compare)})}});
    return Answer.value("succeeded", false);
  }

  VirtualExecutor Exec;
  KeyValueState State;
  LeaseTable Leases{Exec, State};
  EtcdGateway Gateway{State, Leases};
};

} // namespace

// Guards against a stand-in whose JSON differs from that of etcd's gateway,
// from which the expected values below are taken.
TEST_F(EtcdGatewayTest, MatchesTheJsonOfTheEtcdGateway) {
  EXPECT_EQ(this->call("/v3/kv/range", {{"key", "YQ=="}}),
            json::parse(R"({"header":{"cluster_id":"1","member_id":"1",
                            "revision":"1","raft_term":"1"}})"));
  this->put("a", "1");
  this->put("a", "2");
  json Found = this->call("/v3/kv/range", {{"key", "YQ=="}});
  EXPECT_EQ(Found["count"], "1");
  EXPECT_EQ(Found["kvs"], json::parse(R"([{"key":"YQ==","value":"Mg==",
      "create_revision":"2","mod_revision":"3","version":"2"}])"));
  json Old = this->call("/v3/kv/range", {{"key", "YQ=="}, {"revision", "2"}});
  EXPECT_EQ(Old["kvs"][0]["value"], "MQ==");
  // A lagging member answers with its own revision.
  json Stale = this->call("/v3/kv/range", {{"key", "YQ=="}}, 1);
  EXPECT_EQ(Stale["kvs"][0]["value"], "MQ==");
  EXPECT_EQ(Stale["header"]["revision"], "2");
  json Page = this->call(
      "/v3/kv/range", {{"key", "AA=="}, {"range_end", "AA=="}, {"limit", 0}});
  EXPECT_EQ(Page["count"], "1");
  json Deleted =
      this->call("/v3/kv/deleterange", {{"key", "YQ=="}, {"prev_kv", true}});
  EXPECT_EQ(Deleted["deleted"], "1");
  EXPECT_EQ(Deleted["prev_kvs"][0]["value"], "Mg==");
  EXPECT_EQ(this->call("/v3/kv/range", {{"key", "YQ=="}, {"revision", 99}}),
            "etcdserver: mvcc: required revision is a future revision");
}

// Guards against a transaction that commits although its comparison fails.
TEST_F(EtcdGatewayTest, ComparesEveryTarget) {
  EXPECT_TRUE(this->compares({{"target", "CREATE"}, {"create_revision", "0"}}));
  EXPECT_TRUE(this->compares({{"target", "MOD"}}));
  this->put("a", "m");
  this->put("a", "m");
  for (const auto &[Target, Name, Equal, Less] :
       std::vector<std::tuple<const char *, const char *, json, json>>{
           {"MOD", "mod_revision", "3", "2"},
           {"CREATE", "create_revision", "2", "1"},
           {"VERSION", "version", "2", "1"},
           {"VALUE", "value", "bQ==", "YQ=="},
           {"LEASE", "lease", "0", "-1"}}) {
    EXPECT_TRUE(this->compares({{"target", Target}, {Name, Equal}})) << Target;
    EXPECT_FALSE(this->compares({{"target", Target}, {Name, Less}})) << Target;
    EXPECT_TRUE(this->compares(
        {{"target", Target}, {"result", "GREATER"}, {Name, Less}}));
    EXPECT_TRUE(this->compares(
        {{"target", Target}, {"result", "NOT_EQUAL"}, {Name, Less}}));
    EXPECT_FALSE(
        this->compares({{"target", Target}, {"result", "LESS"}, {Name, Less}}));
  }
}

// Guards against a client that passes its tests although etcd would refuse its
// requests.
TEST_F(EtcdGatewayTest, EnforcesEtcdLimits) {
  json Put = {{"request_put", {{"key", "YQ=="}, {"value", "YQ=="}}}};
  EXPECT_EQ(this->call("/v3/kv/txn", {{"success", json::array({Put, Put})}}),
            "etcdserver: duplicate key given in txn request");
  json Operations = json::array();
  for (int I = 0; I < 129; ++I)
    Operations.push_back({{"request_range", {{"key", "YQ=="}}}});
  EXPECT_EQ(this->call("/v3/kv/txn", {{"success", Operations}}),
            "etcdserver: too many operations in txn request");
  EXPECT_EQ(this->call("/v3/kv/put", {{"key", "YQ=="},
                                      {"value", absl::Base64Escape(std::string(
                                                    (1 << 20) + 1, 'x'))}}),
            "etcdserver: request is too large");
  EXPECT_EQ(this->State.revision(), 1);
}

// Guards against keys that outlive their lease, and against a keepalive that
// does not extend it.
TEST_F(EtcdGatewayTest, LeaseExpiryDeletesItsKeys) {
  json Granted = this->call("/v3/lease/grant", {{"TTL", "10"}, {"ID", "7"}});
  EXPECT_EQ(Granted["TTL"], "10");
  this->put("a", "1", 7);
  this->Exec.advance(absl::Seconds(9));
  json Kept = this->call("/v3/lease/keepalive", {{"ID", "7"}});
  EXPECT_EQ(Kept["result"]["TTL"], "10");
  this->Exec.advance(absl::Seconds(9));
  EXPECT_TRUE(this->State.get("a").has_value());
  this->Exec.advance(absl::Seconds(1));
  EXPECT_FALSE(this->State.get("a").has_value());
  Kept = this->call("/v3/lease/keepalive", {{"ID", "7"}});
  EXPECT_FALSE(Kept["result"].contains("TTL"));
}

// Guards against a host list without the delay that clients must tolerate.
TEST(HostListStateTest, UpdatesShowAfterTheLag) {
  VirtualExecutor Exec;
  HostListState Hosts(Exec, absl::Seconds(5));
  const char *Row = R"({"hosts":[{"name":"w1","role":"worker","rack":"r1",
      "data_centre":"dc1","address":"127.0.0.1:1","state":"live"}]})";
  EXPECT_TRUE(Hosts.put(Row).ok());
  EXPECT_TRUE(json::parse(Hosts.get())["hosts"].empty());
  Exec.advance(absl::Seconds(5));
  EXPECT_EQ(json::parse(Hosts.get())["hosts"], json::parse(Row)["hosts"]);
  EXPECT_FALSE(Hosts.put(R"({"hosts":[{"name":"w1"}]})").ok());
}

// Guards against a misspelt fault that is ignored, so that a test runs without
// it.
TEST(PlatformFaultsTest, RefusesMissingModeAndUnknownProperties) {
  EXPECT_FALSE(PlatformFaults::parse("{}").ok());
  EXPECT_FALSE(PlatformFaults::parse(R"({"mode":"up","delay":1})").ok());
  auto Faults = PlatformFaults::parse(R"({"mode":"slow","delay_ms":70})");
  ASSERT_TRUE(Faults.ok());
  EXPECT_EQ(Faults->Delay, absl::Milliseconds(70));
}
