#ifndef VANILLAYARD_STORERELAY_SRC_RELAYCLIENT_H
#define VANILLAYARD_STORERELAY_SRC_RELAYCLIENT_H

#include "base/Ids.h"
#include "store/CoordinationStore.h"

#include <memory>

namespace vanillayard {

class LoopExecutor;

/// Calls the store through another host, over a link to its RelayServer.
///
/// A call opens the link if there is none. The client checks the link every
/// IdleTime and closes it if there was no call for that time. A call that could
/// not be sent fails with PlatformUnavailable; one that was sent but got no
/// reply fails with OutcomeUnknown.
class RelayClient final : public CoordinationStore {
public:
  /// Maximum time to establish the connection.
  static constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);
  /// Maximum time to a reply, plus the wait of an AwaitChanges call. Longer
  /// than the other host waits for the store.
  static constexpr absl::Duration ReplyTimeout = absl::Milliseconds(1500);
  static constexpr absl::Duration IdleTime = absl::Seconds(10);

  RelayClient(LoopExecutor &Loop, const Endpoint &Peer);
  ~RelayClient() override;

  void get(const std::string &Key, GetCallback Done) override;
  void list(const std::string &Prefix, ListCallback Done) override;
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override;
  void commit(StoreTransaction Transaction, CommitCallback Done) override;
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override;
  void renewLease(int64_t Lease, DoneCallback Done) override;
  void endLease(int64_t Lease, DoneCallback Done) override;

private:
  class Impl;
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
