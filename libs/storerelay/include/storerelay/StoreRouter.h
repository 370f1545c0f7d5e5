#ifndef VANILLAYARD_STORERELAY_STOREROUTER_H
#define VANILLAYARD_STORERELAY_STOREROUTER_H

#include "absl/time/time.h"

namespace vanillayard {

/// Decides whether a host calls the store itself or asks a peer to.
///
/// Peers help when the store refuses some hosts, or is unreachable from them,
/// but serves others. When the store serves no host, this host stops asking
/// peers for PeerBackoff, so that hosts do not keep asking each other.
class StoreRouter {
public:
  enum class Route {
    Direct,
    Peer,
    /// The store answers neither this host nor its peers. Calls fail at once;
    /// only probes are sent.
    None,
  };
  enum class Outcome {
    /// The store answered, with a result or an error.
    Served,
    /// The call was not executed.
    Refused,
    /// No answer arrived; the call may have been executed.
    Unanswered,
  };

  /// Number of unanswered calls in a row after which the direct route, or the
  /// route through peers, counts as unreachable. It is more than one, because a
  /// single answer can be lost while the store is available.
  static constexpr int UnansweredBeforeDown = 2;
  /// Minimum time between two probes of the direct route.
  static constexpr absl::Duration ProbeInterval = absl::Milliseconds(250);
  /// Time for which no calls are relayed through peers after the store served
  /// none of the peers that were asked, or after UnansweredBeforeDown relayed
  /// calls in a row got no answer.
  static constexpr absl::Duration PeerBackoff = absl::Seconds(1);

  Route route(bool HasPeers, absl::Time Now) const;
  void recordDirectOutcome(Outcome Result);
  void recordPeerOutcome(Outcome Result, absl::Time Now);
  /// Stops asking peers for PeerBackoff: the store served none of those asked.
  void startPeerBackoff(absl::Time Now);
  /// Returns true, and counts the probe as sent, if the direct route is down
  /// and the last probe was sent at least ProbeInterval ago.
  bool startProbeIfDue(absl::Time Now);
  bool isDirectDown() const { return this->IsDirectDown; }

private:
  bool IsDirectDown = false;
  /// Direct calls get no answer, so each would last until its timeout.
  bool IsUnresponsive = false;
  /// Since the store last answered directly; a refusal does not reset it.
  int DirectUnansweredCalls = 0;
  /// Since the last answer or refusal through a peer.
  int PeerUnansweredCalls = 0;
  absl::Time NextProbe = absl::InfinitePast();
  absl::Time NextPeerAttempt = absl::InfinitePast();
};

} // namespace vanillayard

#endif
