#ifndef VANILLAYARD_STORERELAY_SRC_LINKEDSTORE_H
#define VANILLAYARD_STORERELAY_SRC_LINKEDSTORE_H

#include "base/Ids.h"
#include "store/CoordinationStore.h"

#include <memory>

namespace vanillayard {

class LoopExecutor;

/// The store as another host sees it, over a link to that host's RelayServer.
///
/// The link is opened with the first call and closed after IdleTime without
/// one. A call that could not be sent fails as PlatformUnavailable; one whose
/// reply does not come, as OutcomeUnknown.
class LinkedStore final : public CoordinationStore {
public:
  /// Time to open the link.
  static constexpr absl::Duration ConnectTimeout = absl::Milliseconds(400);
  /// Time to a reply beyond the wait of the call; longer than the other host
  /// waits for the store.
  static constexpr absl::Duration ReplyTimeout = absl::Milliseconds(1500);
  static constexpr absl::Duration IdleTime = absl::Seconds(10);

  LinkedStore(LoopExecutor &Loop, const Endpoint &Peer);
  ~LinkedStore() override;

  void get(const std::string &Key, GetCallback Done) override;
  void list(const std::string &Prefix, ListCallback Done) override;
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override;
  void commit(StoreTransaction Transaction, CommitCallback Done) override;
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override;
  void keepLease(int64_t Lease, DoneCallback Done) override;
  void endLease(int64_t Lease, DoneCallback Done) override;

private:
  class Impl;
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
