#ifndef VANILLAYARD_CONTROL_LEADERROLELISTENER_H
#define VANILLAYARD_CONTROL_LEADERROLELISTENER_H

#include <cstdint>

namespace vanillayard {

/// Receives notifications when this host gains or loses the leader's role.
class LeaderRoleListener {
public:
  virtual ~LeaderRoleListener() = default;

  /// \param Fence fencing token, higher than that of any previous leader.
  virtual void roleGained(int64_t Fence) = 0;
  virtual void roleLost() = 0;
};

} // namespace vanillayard

#endif
