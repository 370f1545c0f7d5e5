#ifndef VANILLAYARD_TESTING_LOADBALANCER_H
#define VANILLAYARD_TESTING_LOADBALANCER_H

#include "testing/Cluster.h"

#include <cstddef>

namespace vanillayard {

/// Round-robin load balancer over the running hosts of a Cluster, with a
/// caller's retries. It retries a request on the next host after a delay if no
/// complete answer arrives, or if the answer is 503 with execution "not_run" or
/// 409 with kind "in_progress". Use it only for requests that are repeatable or
/// carry an idempotency key.
class LoadBalancer {
public:
  static constexpr int MaxAttempts = 50;

  explicit LoadBalancer(Cluster &Hosts) : Hosts(Hosts) {}

  /// Sends a request. \p Done runs once, with the answer of the last attempt.
  /// \p Timeout applies to each attempt.
  void sendRequest(HttpRequest Request, absl::Duration Timeout,
                   HttpClient::ResponseCallback Done);
  /// Number of retries of all requests.
  size_t retries() const { return this->Retries; }

private:
  void sendAttempt(HttpRequest Request, absl::Duration Timeout,
                   int AttemptsLeft, HttpClient::ResponseCallback Done);
  const EntryHostNode *nextHost();

  Cluster &Hosts;
  size_t NextIndex = 0;
  size_t Retries = 0;
};

} // namespace vanillayard

#endif
