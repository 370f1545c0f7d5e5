#ifndef VANILLAYARD_STANDIN_PLATFORM_LEASETABLE_H
#define VANILLAYARD_STANDIN_PLATFORM_LEASETABLE_H

#include "base/Executor.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <cstdint>

namespace vanillayard {

class KeyValueState;

/// Leases of the key-value service. The keys of a lease are deleted when it
/// expires or is revoked.
class LeaseTable {
public:
  LeaseTable(Executor &Exec, KeyValueState &State);
  ~LeaseTable();

  /// \param Id requested id; 0 lets the table choose one.
  /// \returns the id of the lease, or 0 if the requested id is in use.
  int64_t grant(int64_t Id, absl::Duration Ttl);
  /// \returns the time to live, or zero if there is no such lease.
  absl::Duration keepAlive(int64_t Id);
  /// \returns false if there is no such lease.
  bool revoke(int64_t Id);
  bool exists(int64_t Id) const { return this->Leases.contains(Id); }

private:
  struct Lease {
    absl::Duration Ttl;
    Executor::TimerId ExpiryTimer = 0;
  };

  void armExpiry(int64_t Id, Lease &Value);

  Executor &Exec;
  KeyValueState &State;
  absl::flat_hash_map<int64_t, Lease> Leases;
  int64_t NextId = 1000;
};

} // namespace vanillayard

#endif
