#include "config/SettingsBuilder.h"

#include "DocumentMutations.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

using namespace vanillayard;
using nlohmann::json;

// Guards against an invalid value that is accepted, and against an error that
// does not tell the operator where and what is wrong.
TEST(SettingsTest, EveryInvalidValueIsRefusedAndExplained) {
  expectEveryMutationRefused(
      readSample("settings.json"),
      [](const std::string &Text) { return Settings::parse(Text).status(); });
}

// Guards against a value that is read from or written to the wrong property.
TEST(SettingsTest, FormatAndParseKeepEveryValue) {
  auto Built = Settings::Builder(HostId("h"), DataCentreId("d"))
                   .region("r")
                   .callerListen(Endpoint("127.0.0.1:1"))
                   .adminListen(Endpoint("[::1]:0"))
                   .peerListen(Endpoint("0.0.0.0:3"))
                   .peerAdvertise(Endpoint("127.0.0.1:4"))
                   .seedPeers({Endpoint("127.0.0.1:5")})
                   .platformKeyValue(Endpoint("127.0.0.1:6"))
                   .platformHostList(Endpoint("127.0.0.1:7"))
                   .platformTimeout(absl::Milliseconds(801))
                   .hostListInterval(absl::Milliseconds(802))
                   .controlBytesPerSecond(803)
                   .maxBodyBytes(8004)
                   .requestTimeout(absl::Milliseconds(8005))
                   .shutdownGrace(absl::Milliseconds(8006))
                   .leaseTtl(absl::Milliseconds(8007))
                   .pollInterval(absl::Milliseconds(8008))
                   .spillOverDelay(absl::Milliseconds(8009))
                   .queue(QueueChoice::Fifo)
                   .workerSelection(WorkerSelectionChoice::Random)
                   .placement(PlacementChoice::FirstFit)
                   .retry(RetryChoice::Unlimited)
                   .logLevel(LogLevel::Debug)
                   .build();
  ASSERT_TRUE(Built.ok()) << Built.status();
  json Expected = json::parse(R"({
    "host": "h", "data_centre": "d", "region": "r",
    "listen": {"caller": "127.0.0.1:1", "admin": "[::1]:0",
               "peer": "0.0.0.0:3"},
    "peer_advertise": "127.0.0.1:4", "seed_peers": ["127.0.0.1:5"],
    "platform": {"key_value": "127.0.0.1:6", "host_list": "127.0.0.1:7",
                 "timeout_ms": 801, "host_list_interval_ms": 802},
    "budgets": {"control_bytes_per_second": 803},
    "limits": {"max_body_bytes": 8004, "request_timeout_ms": 8005,
               "shutdown_grace_ms": 8006, "lease_ttl_ms": 8007,
               "poll_interval_ms": 8008, "spill_over_delay_ms": 8009},
    "policy": {"queue": "fifo", "worker_selection": "random",
               "placement": "first_fit", "retry": "unlimited"},
    "log_level": "debug"})");
  EXPECT_EQ(json::parse(Built->format()), Expected);
  EXPECT_EQ(Built->LeaseTtl, absl::Milliseconds(8007));
}

// Guards against invalid settings that are built in code and so bypass parse().
TEST(SettingsTest, BuilderRefusesWhatParseRefuses) {
  auto Builder = Settings::Builder(HostId("h"), DataCentreId("d"))
                     .region("r")
                     .listen(Endpoint("127.0.0.1:0"))
                     .platform(Endpoint("127.0.0.1:9"));
  EXPECT_TRUE(Builder.build().ok()) << Builder.build().status();
  Builder.platform(Endpoint("127.0.0.1:0")).leaseTtl(absl::Seconds(9));
  EXPECT_EQ(Builder.build().status().message(),
            "platform.key_value: is \"127.0.0.1:0\"; must be an IP address and "
            "port from 1 to 65535\n"
            "platform.host_list: is \"127.0.0.1:0\"; must be an IP address and "
            "port from 1 to 65535");
}
