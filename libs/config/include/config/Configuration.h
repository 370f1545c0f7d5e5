#ifndef VANILLAYARD_CONFIG_CONFIGURATION_H
#define VANILLAYARD_CONFIG_CONFIGURATION_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace vanillayard {

/// Cells of one shape that are guaranteed to a client account: it can always
/// reclaim them from borrowers.
struct GuaranteedCells {
  DataCentreId DataCentre;
  /// Accelerators of one cell within a worker: 1, 2, 4 or 8. Must be 8 if
  /// Workers is more than 1.
  int AcceleratorsPerCell = 8;
  /// Whole workers of one rack that form one cell; 1 for a cell within a
  /// worker.
  int Workers = 1;
  /// Number of guaranteed cells of this shape.
  int Count = 0;
};

struct ClientAccount {
  ClientAccountId Name;
  /// Weight in weighted fair queueing, above 0.
  double Weight = 1;
  std::vector<GuaranteedCells> Guarantees;
  /// Maximum number of accelerators that jobs of the account may hold; 0 for
  /// no limit.
  int AcceleratorQuota = 0;
  /// Maximum number of short requests of the account that one host queues.
  int MaxQueued = 10000;
};

enum class Urgency { Urgent, Normal, Deferrable };

/// A class of work by how long its caller can wait.
struct KindOfWork {
  KindOfWorkId Name;
  Urgency UrgencyLevel = Urgency::Normal;
  /// Deadline of a request that specifies none.
  absl::Duration DefaultDeadline = absl::Seconds(30);
  /// Whether a request that does not specify it may be run again.
  bool RepeatableByDefault = false;
};

/// Policy settings for one phase of operation.
struct Preset {
  PresetId Name;
  /// Weight of each kind. A kind without an entry has weight 1.
  std::map<KindOfWorkId, double> KindWeights;
  /// Fraction of slots that only urgent kinds may use, 0 to 0.5.
  double UrgentReserve = 0.125;
  /// Whether jobs may use more than their account's guarantee.
  bool Borrowing = true;
  /// Whether short requests may be forwarded to another data centre.
  bool SpillOver = true;
  /// Whether work of deferrable kinds is admitted.
  bool AdmitDeferrable = true;
};

struct Limits {
  /// Maximum size of a request body in bytes.
  int64_t MaxBodyBytes = 1 << 20;
  /// Maximum number of short requests that one host queues.
  int MaxQueued = 100000;
  /// Maximum number of retries per success, 0 to 1.
  double RetryBudget = 0.1;
  /// Time that a running checkpointable job has to write a checkpoint before
  /// it is stopped because its accelerators are reclaimed.
  absl::Duration ReclaimGrace = absl::Seconds(5);
  /// Waiting time of a gang after which the workers reserved for it accept no
  /// new jobs.
  absl::Duration MaxGangWait = absl::Minutes(30);
};

/// The operators' configuration: one document that is replaced as a whole.
struct Configuration {
  /// Increases by one with every accepted change.
  int64_t Generation = 0;
  /// Name of the active preset, one of Presets.
  PresetId PresetInForce;
  std::vector<ClientAccount> Accounts;
  std::vector<KindOfWork> Kinds;
  std::vector<Preset> Presets;
  Limits Bounds;

  /// Returns null if there is no such account.
  const ClientAccount *findAccount(const ClientAccountId &Name) const;
  /// Returns null if there is no such kind.
  const KindOfWork *findKind(const KindOfWorkId &Name) const;
  /// Returns the active preset. A validated configuration always has one;
  /// others get a preset with default values.
  const Preset &activePreset() const;
};

} // namespace vanillayard

#endif
