#ifndef VANILLAYARD_STORERELAY_HOSTPRESENCE_H
#define VANILLAYARD_STORERELAY_HOSTPRESENCE_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <vector>

namespace vanillayard {

class CoordinationStore;
class Executor;
class Log;

/// Tells the other hosts where this one is reached, by a key under a lease,
/// and learns where they are.
class HostPresence {
public:
  using PeersCallback = std::function<void(const std::vector<Endpoint> &)>;

  /// Time after which a host that has ended is not listed any more.
  static constexpr absl::Duration TimeToLive = absl::Seconds(12);
  /// Time between two renewals; two of them may fail.
  static constexpr absl::Duration RenewalInterval = absl::Seconds(4);
  /// Time between two readings of the list.
  static constexpr absl::Duration ListInterval = absl::Seconds(12);

  HostPresence(Executor &Exec, CoordinationStore &Store, HostId Host,
               Log &Events);
  ~HostPresence();

  /// \param Changed gets the addresses of all other hosts with each reading.
  void start(const Endpoint &Address, PeersCallback Changed);
  /// Takes this host off the list.
  void leave();

private:
  class Impl;
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
