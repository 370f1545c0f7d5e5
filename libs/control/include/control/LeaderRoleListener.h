#ifndef VANILLAYARD_CONTROL_LEADERROLELISTENER_H
#define VANILLAYARD_CONTROL_LEADERROLELISTENER_H

#include <cstdint>

namespace vanillayard {

/// Receives notifications when this host gains, keeps or loses the leader's
/// role.
class LeaderRoleListener {
public:
  virtual ~LeaderRoleListener() = default;

  /// \param Fence fencing token, higher than that of any previous leader.
  virtual void roleGained(int64_t Fence) = 0;
  /// The leader's key had expired and this host has written it again, while no
  /// other host held the role. The fencing token stays valid.
  /// \param KeyRevision revision of the new key, on which writes of the leader
  ///        are conditioned from now on.
  virtual void roleReclaimed(int64_t KeyRevision) = 0;
  virtual void roleLost() = 0;
};

} // namespace vanillayard

#endif
