#ifndef VANILLAYARD_CONTROL_LEADERROLE_H
#define VANILLAYARD_CONTROL_LEADERROLE_H

#include "base/Executor.h"
#include "base/Ids.h"

#include "absl/time/time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace vanillayard {

class BootClock;
class CoordinationStore;
class Log;
class LeaderRoleListener;

/// Elects the one host that gives orders: the holder of a key under a lease
/// in the store. The revision of the key is the fencing token, so it rises
/// with each change of the holder.
///
/// \code
///   auto Role = LeaderRole::Builder(Exec, Store, Clock, Events)
///                   .host(HostId("e1"))
///                   .listener(Task)
///                   .build();
///   Role->start();
/// \endcode
///
/// Without a confirmation for the time to live, the role may have passed to
/// another host: mayStart() is false then. The role is kept for
/// MaxUnconfirmed longer, so that running work goes on through an outage of
/// the store, in which nobody else can gain it either.
class LeaderRole {
public:
  class Builder {
  public:
    Builder(Executor &Exec, CoordinationStore &Store, const BootClock &Clock,
            Log &Events)
        : Exec(Exec), Store(Store), Clock(Clock), Events(Events) {}
    /// Name of this host. Required.
    Builder &host(HostId Value);
    /// Told of changes; must outlive the role. Required.
    Builder &listener(LeaderRoleListener &Value);
    /// Time to live of the lease. Default 3 s.
    Builder &timeToLive(absl::Duration Value);
    /// How long the role is kept after the time to live without a
    /// confirmation. Default 6 s.
    Builder &maxUnconfirmed(absl::Duration Value);
    /// Wait before standing for a vacant role, so that stronger hosts come
    /// first. Default 0.
    Builder &candidateDelay(absl::Duration Value);
    std::unique_ptr<LeaderRole> build();

  private:
    friend class LeaderRole;
    Executor &Exec;
    CoordinationStore &Store;
    const BootClock &Clock;
    Log &Events;
    HostId Host;
    LeaderRoleListener *Listener = nullptr;
    absl::Duration TimeToLive = absl::Seconds(3);
    absl::Duration MaxUnconfirmed = absl::Seconds(6);
    absl::Duration CandidateDelay = absl::ZeroDuration();
  };

  ~LeaderRole();

  /// Follows the holder of the role, or stands for it.
  void start();

  /// The role is held, confirmed or not.
  bool isLeader() const;
  /// The role is confirmed: no other host can hold it at this moment.
  bool mayStart() const;
  /// Longest time from now for which leases may be extended. A successor
  /// waits at least until then before it takes an unreachable worker's runs
  /// for ended. Zero or less if the role is not held.
  absl::Duration leaseAllowance(absl::Duration LeaseTime) const;

  /// Another leader was met: gives the role up.
  void yield();

  /// Gives the role up and does not stand again. \p Done runs when the store
  /// has answered, or at once if there is nothing to give up.
  void resign(std::function<void()> Done);

  class Impl;

private:
  explicit LeaderRole(std::shared_ptr<Impl> Implementation);
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
