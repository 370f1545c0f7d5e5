#ifndef VANILLAYARD_STORERELAY_STOREPATH_H
#define VANILLAYARD_STORERELAY_STOREPATH_H

#include "absl/time/time.h"

namespace vanillayard {

/// Decides whether a host calls the store itself or asks another host to.
///
/// Answers the load of a store that turns some hosts away, or cannot be
/// reached from them, and serves the others. When it serves nobody, hosts do
/// not keep asking each other.
class StorePath {
public:
  enum class Route {
    Direct,
    Peer,
    /// Nobody is served. Calls fail at once and nothing is sent but probes.
    None,
  };
  enum class Answer {
    /// The store has answered, whatever it said.
    Served,
    /// Nothing was done.
    Refused,
    /// No answer came.
    Missing,
  };

  /// Calls without an answer in a row after which the store, or the store
  /// through peers, counts as unreachable. One answer may be lost while the
  /// store serves.
  static constexpr int MissingBeforeDown = 2;
  /// Time between two tries to reach the store directly again.
  static constexpr absl::Duration ProbeInterval = absl::Milliseconds(250);
  /// Time for which peers are not asked after they have not been served.
  static constexpr absl::Duration PeerRest = absl::Seconds(1);

  Route route(bool HasPeers, absl::Time Now) const;
  void directAnswered(Answer Kind);
  void peerAnswered(Answer Kind, absl::Time Now);
  /// The store has served none of the peers that were asked.
  void peersNotServed(absl::Time Now);
  /// True if the store should be tried directly now; counts as that try.
  bool takeProbe(absl::Time Now);
  bool isDirectDown() const { return this->IsDirectDown; }

private:
  bool IsDirectDown = false;
  /// The store leaves calls unanswered, so that each would take its whole time.
  bool IsSilent = false;
  int MissingInARow = 0;
  int PeerMissingInARow = 0;
  absl::Time NextProbe = absl::InfinitePast();
  absl::Time AskPeersFrom = absl::InfinitePast();
};

} // namespace vanillayard

#endif
