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

/// Publishes this host's address in the store, in a key bound to a lease, and
/// periodically reads the addresses of the other hosts.
class HostPresence {
public:
  using PeersCallback = std::function<void(const std::vector<Endpoint> &)>;

  /// Time to live of the lease: a host that has crashed is listed for at most
  /// this long.
  static constexpr absl::Duration TimeToLive = absl::Seconds(12);
  /// Time between two renewals of the lease. Two renewals can fail before the
  /// lease expires.
  static constexpr absl::Duration RenewalInterval = absl::Seconds(4);
  /// Time between two reads of the host list.
  static constexpr absl::Duration ListInterval = absl::Seconds(12);

  HostPresence(Executor &Exec, CoordinationStore &Store, HostId Host,
               Log &Events);
  ~HostPresence();

  /// Publishes \p Address and starts to read the host list.
  /// \param OnListed receives the addresses of all other hosts after each read,
  ///                 also if they have not changed.
  void start(const Endpoint &Address, PeersCallback OnListed);
  /// Stops all renewals and reads, and ends the lease, which removes this host
  /// from the list.
  void leave();

private:
  class Impl;
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
