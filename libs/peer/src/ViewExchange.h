#ifndef VANILLAYARD_PEER_SRC_VIEWEXCHANGE_H
#define VANILLAYARD_PEER_SRC_VIEWEXCHANGE_H

#include "base/Ids.h"
#include "wire/WorkerView.h"

#include "absl/time/time.h"

#include <map>
#include <optional>
#include <vector>

namespace vanillayard {

/// Prepares the views of the workers that this host polls for the other hosts
/// of its data centre, and stores the views that these send.
///
/// A view is sent when it has changed since the peer's last acknowledgement. It
/// is sent brief, without its static fields (address, rack and totals), if the
/// peer has acknowledged these.
class ViewExchange {
public:
  /// Estimated bytes of views after which a heartbeat takes no further view;
  /// the next heartbeat carries the rest.
  static constexpr size_t BytesPerHeartbeat = 384;
  /// Time to wait for an acknowledgement before views are sent again.
  static constexpr absl::Duration ResendAfter = absl::Seconds(3);
  /// All views are sent again this often. This repairs the views that a peer
  /// lacks in spite of its acknowledgement, such as one that was meant for an
  /// earlier process.
  static constexpr absl::Duration RefreshInterval = absl::Minutes(1);

  /// Sets the view of a worker; Version and Brief are ignored. An unchanged
  /// view is not sent again.
  void publish(WorkerView View);
  /// Marks the view of a worker as withdrawn and sends it to the peers.
  void withdraw(const WorkerId &Worker);

  /// Views for one heartbeat.
  struct Batch {
    /// The batch has all views of versions above this one, up to that of its
    /// last view.
    int64_t After = 0;
    std::vector<WorkerView> Views;
  };
  /// Returns the views to send to \p To now and counts them as sent.
  Batch nextBatch(const HostId &To, absl::Time Now);
  /// Records that \p From has received all views up to \p Version.
  void acknowledged(const HostId &From, int64_t Version);
  /// Resets the state of the exchange with \p Host, which restarted.
  void restarted(const HostId &Host);
  /// Removes the state of the exchange with \p Host.
  void forget(const HostId &Host);

  /// Stores a batch that \p From sent.
  /// \returns the views that are new, with all fields. A brief view whose
  ///          static fields are not known is left out and not acknowledged.
  std::vector<WorkerView> received(const HostId &From, const Batch &Received);
  /// Version up to which all views of \p From were received, if it has sent
  /// any since the last call, else 0. A lost acknowledgement is not repeated by
  /// itself: \p From sends the views again, and they are acknowledged then.
  int64_t takeAcknowledgement(const HostId &From);

  const std::map<WorkerId, WorkerView> &ownViews() const { return this->Own; }
  /// Views of the workers that \p Host polls.
  const std::map<WorkerId, WorkerView> *viewsOf(const HostId &Host) const;

private:
  struct Peer {
    /// Version up to which the peer has acknowledged all own views; 0 after a
    /// refresh.
    int64_t Acknowledged = 0;
    /// Version up to which own views were sent; Acknowledged if they are to be
    /// sent again.
    int64_t Sent = 0;
    /// Start of the wait for an acknowledgement.
    absl::Time SentAt = absl::InfinitePast();
    absl::Time RefreshedAt = absl::InfinitePast();
    /// Version up to which all views of the peer were received.
    int64_t ReceivedVersion = 0;
    bool IsAcknowledgementDue = false;
    /// Views that the peer has sent, with all fields.
    std::map<WorkerId, WorkerView> Views;
  };

  /// Returns a view with all fields; none if it is brief and its static fields
  /// are not known.
  static std::optional<WorkerView> expandView(Peer &From,
                                              const WorkerView &View);

  std::map<WorkerId, WorkerView> Own;
  /// Version at which the static fields of a worker's view last changed.
  std::map<WorkerId, int64_t> StaticVersions;
  /// Own views in the order of their versions.
  std::map<int64_t, WorkerId> ByVersion;
  int64_t LastVersion = 0;
  std::map<HostId, Peer> Peers;
};

} // namespace vanillayard

#endif
