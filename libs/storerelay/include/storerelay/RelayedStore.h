#ifndef VANILLAYARD_STORERELAY_RELAYEDSTORE_H
#define VANILLAYARD_STORERELAY_RELAYEDSTORE_H

#include "store/CoordinationStore.h"

#include <memory>

namespace vanillayard {

class Executor;
class Log;
class StorePeers;

/// The store, called directly or through another host when it turns this host
/// away.
///
/// A call that was refused is tried again through peers at once. A call
/// without an answer is not repeated here: its owner knows whether it may be.
class RelayedStore final : public CoordinationStore {
public:
  /// Most peers that are asked for one call.
  static constexpr size_t MaxPeersAsked = 3;

  /// All arguments must outlive the store.
  RelayedStore(Executor &Exec, CoordinationStore &Direct, StorePeers &Peers,
               Log &Events);
  ~RelayedStore() override;

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
