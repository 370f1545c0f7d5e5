#ifndef VANILLAYARD_TESTING_LOADBALANCER_H
#define VANILLAYARD_TESTING_LOADBALANCER_H

#include "testing/Cluster.h"

#include <cstddef>

namespace vanillayard {

/// What the platform's load balancer and a patient caller do together: each
/// call goes to the next running host, and is sent again, a little later,
/// when it got no whole answer or was told that it did not run and may try
/// again. Only safe for requests that are repeatable or carry an idempotency
/// key.
class LoadBalancer {
public:
  static constexpr int MaxAttempts = 50;

  explicit LoadBalancer(Cluster &Hosts) : Hosts(Hosts) {}

  /// \p Done runs once, with the last answer.
  void begin(HttpRequest Request, absl::Duration Timeout,
             HttpClient::ResponseCallback Done);
  /// Attempts beyond the first, over all calls.
  size_t repeats() const { return this->Repeats; }

private:
  void attempt(HttpRequest Request, absl::Duration Timeout, int Left,
               HttpClient::ResponseCallback Done);
  const EntryHostNode *next();

  Cluster &Hosts;
  size_t Turn = 0;
  size_t Repeats = 0;
};

} // namespace vanillayard

#endif
