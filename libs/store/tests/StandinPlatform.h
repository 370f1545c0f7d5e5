#ifndef VANILLAYARD_STORE_TESTS_STANDINPLATFORM_H
#define VANILLAYARD_STORE_TESTS_STANDINPLATFORM_H

#include "net/H2oHttpClient.h"
#include "net/HttpServer.h"
#include "net/LoopExecutor.h"
#include "standin_platform/PlatformService.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

namespace vanillayard {

/// Runs the stand-in for the platform on loopback and a client of it, both on
/// one event loop.
class StandinPlatform {
public:
  StandinPlatform() {
    auto Built = HttpServer::Builder(this->Loop)
                     .address(Endpoint("127.0.0.1:0"))
                     .maxBodyBytes(PlatformService::MaxBodyBytes)
                     .handler(this->Service.handler())
                     .build();
    EXPECT_TRUE(Built.ok()) << Built.status();
    this->Server = std::move(*Built);
  }

  /// Runs the loop until \p Condition holds. \returns false if it does not hold
  /// within 20 s, far longer than any test takes unless it fails.
  bool waitFor(const std::function<bool()> &Condition) {
    constexpr absl::Duration Limit = absl::Seconds(20);
    absl::Time End = this->Loop.now() + Limit;
    std::function<void()> Check = [&] {
      if (Condition() || this->Loop.now() >= End)
        this->Loop.stop();
      else
        this->Loop.post(Check);
    };
    this->Loop.post(Check);
    this->Loop.run();
    return Condition();
  }

  Endpoint address() const { return this->Server->address(); }

  LoopExecutor Loop;
  PlatformService Service{Loop};
  std::unique_ptr<HttpServer> Server;
  H2oHttpClient Client{Loop};
};

} // namespace vanillayard

#endif
