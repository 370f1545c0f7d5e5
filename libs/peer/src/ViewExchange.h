#ifndef VANILLAYARD_PEER_SRC_VIEWEXCHANGE_H
#define VANILLAYARD_PEER_SRC_VIEWEXCHANGE_H

#include "base/Ids.h"
#include "wire/WorkerView.h"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillayard {

/// Sends the views of the workers that this host polls to the hosts of its
/// data centre, and keeps theirs.
///
/// A view is sent when it has changed since the peer's last acknowledgement,
/// and briefly if the peer has acknowledged its address, rack and totals.
class ViewExchange {
public:
  /// Most bytes of views in one heartbeat, by estimate. The rest waits for
  /// the next one.
  static constexpr size_t BytesPerHeartbeat = 384;
  /// Time to wait for an acknowledgement before views are sent again.
  static constexpr absl::Duration ResendAfter = absl::Seconds(3);
  /// All views are sent again this often, against what no acknowledgement
  /// covers, such as one that was meant for an earlier process.
  static constexpr absl::Duration RefreshInterval = absl::Minutes(1);

  /// Sets a view; Version and Brief are ignored. Unchanged views cost nothing.
  void publish(WorkerView View);
  /// Stops publishing a worker.
  void withdraw(const WorkerId &Worker);

  /// Views to send to \p To now.
  struct Batch {
    /// The views follow without a gap on those up to this version.
    int64_t After = 0;
    std::vector<WorkerView> Views;
  };
  Batch viewsFor(const HostId &To, absl::Time Now);
  /// Takes the acknowledgement of \p From.
  void acknowledged(const HostId &From, int64_t Version);
  /// Forgets what \p Host has and has sent, since it started again.
  void restarted(const HostId &Host);
  void forget(const HostId &Host);

  /// Takes a batch from \p From.
  /// \returns the views that are new, as whole ones. One that is brief and
  ///          whose rest is not known is left out and not acknowledged.
  std::vector<WorkerView> received(const HostId &From, const Batch &Got);
  /// Version up to which all views of \p From were received, if it has sent
  /// any since the last call, else 0. A lost acknowledgement needs no repeat
  /// of its own: the views then come again.
  int64_t takeAcknowledgement(const HostId &From);

  const std::map<WorkerId, WorkerView> &own() const { return this->Own; }
  /// Views of the workers that \p Host polls.
  const std::map<WorkerId, WorkerView> *of(const HostId &Host) const;

private:
  struct Peer {
    int64_t Acknowledged = 0;
    int64_t Sent = 0;
    absl::Time SentAt = absl::InfinitePast();
    absl::Time RefreshedAt = absl::InfinitePast();
    int64_t Seen = 0;
    bool IsAcknowledgementDue = false;
    std::map<WorkerId, WorkerView> Views;
  };

  static std::optional<WorkerView> merge(Peer &From, const WorkerView &View);

  std::map<WorkerId, WorkerView> Own;
  /// Version at which the parts that a brief view leaves out last changed.
  std::map<WorkerId, int64_t> WholeVersions;
  /// Own views in the order of their versions.
  std::map<int64_t, WorkerId> ByVersion;
  int64_t LastVersion = 0;
  std::map<HostId, Peer> Peers;
};

} // namespace vanillayard

#endif
