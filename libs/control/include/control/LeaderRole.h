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

/// Leader election: the leader is the host that holds a key in the store under
/// a lease. Only the leader sends orders to workers. The revision of the key is
/// the fencing token, so the token rises with each change of the holder.
///
/// \code
///   auto Role = LeaderRole::Builder(Exec, Store, Clock, Events)
///                   .host(HostId("e1"))
///                   .listener(Task)
///                   .build();
///   Role->start();
/// \endcode
///
/// If the store has not confirmed the lease for TimeToLive, another host may
/// hold the role: isConfirmed() is false then. The host keeps the role for
/// MaxUnconfirmed longer, so that running work continues through an outage of
/// the store, during which no other host can gain the role either.
///
/// The key may expire in an outage. A second key, vy/term, has no lease and is
/// written by each claim. If it still has the revision of this host's claim, no
/// other host has held the role meanwhile: the host writes the leader's key
/// again and keeps the role with all its state.
class LeaderRole {
public:
  class Builder {
  public:
    Builder(Executor &Exec, CoordinationStore &Store, const BootClock &Clock,
            Log &Events)
        : Exec(Exec), Store(Store), Clock(Clock), Events(Events) {}
    /// Name of this host. Required.
    Builder &host(HostId Value);
    /// Notified when the role is gained or lost; must outlive this object.
    /// Required.
    Builder &listener(LeaderRoleListener &Value);
    /// Time to live of the lease. Default 3 s.
    Builder &timeToLive(absl::Duration Value);
    /// How long the host keeps the role, unconfirmed, after the store has not
    /// confirmed the lease for the time to live. Default 6 s.
    Builder &maxUnconfirmed(absl::Duration Value);
    /// Delay before this host claims a vacant role, so that preferred hosts
    /// claim it first. Default 0.
    Builder &candidateDelay(absl::Duration Value);
    /// Additional delay if the store has not answered this host lately, so that
    /// a leader whose key has expired in an outage can write it again. Default
    /// 700 ms.
    Builder &returnDelay(absl::Duration Value);
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
    absl::Duration ReturnDelay = absl::Milliseconds(700);
  };

  ~LeaderRole();

  /// Starts to watch the holder of the role, and claims the role if vacant.
  void start();

  /// Whether this host holds the role, confirmed or not.
  bool isLeader() const;
  /// Whether the lease is confirmed, so that no other host can hold the role
  /// now and this host may start runs.
  bool isConfirmed() const;
  /// Whether the leader before this host recorded each placement before it
  /// started the task, so that the records name all runs that there may be.
  /// False if that is not known. Valid while this host is the leader.
  bool hasPredecessorRecordedPlacements() const;
  /// Longest time from now for which workers' leases may be extended. A
  /// successor waits at least until then before it treats the runs of an
  /// unreachable worker as ended. Zero or less if no lease may be
  /// extended, as when this host does not hold the role.
  /// \param LeaseTime the deployment's lease for workers.
  absl::Duration maxWorkerLease(absl::Duration LeaseTime) const;

  /// Finds out whether this host still holds the role, after a write has found
  /// another or no leader's key. The role is unconfirmed until then.
  void verify();

  /// Gives up the role because a worker has refused this leader's fencing
  /// token. This host may claim the role again later.
  void stepDown();

  /// Gives up the role and never claims it again. \p Done runs when the store
  /// has answered, or immediately if this host does not hold the role.
  void resign(std::function<void()> Done);

  class Impl;

private:
  explicit LeaderRole(std::shared_ptr<Impl> Implementation);
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
