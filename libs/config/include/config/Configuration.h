#ifndef VANILLAYARD_CONFIG_CONFIGURATION_H
#define VANILLAYARD_CONFIG_CONFIGURATION_H

#include "base/Ids.h"

#include "absl/time/time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace vanillayard {

/// Cells of one shape that a client account can always get back.
struct GuaranteedCells {
  DataCentreId DataCentre;
  /// Accelerators of one cell within a worker: 1, 2, 4 or 8. Ignored if
  /// Workers is more than 1.
  int AcceleratorsPerCell = 8;
  /// Whole workers of one rack that make one cell; 1 for a cell in a worker.
  int Workers = 1;
  /// Number of such cells.
  int Count = 0;
};

struct ClientAccount {
  ClientAccountId Name;
  /// Weight in fair sharing, above 0.
  double Weight = 1;
  std::vector<GuaranteedCells> Guarantees;
  /// Most accelerators that jobs of the account may hold; 0 for no limit.
  int AcceleratorQuota = 0;
  /// Most short requests of the account that one host queues.
  int MaxQueued = 10000;
};

enum class Urgency { Urgent, Normal, Deferrable };

/// A class of work by how long its caller can wait.
struct KindOfWork {
  KindId Name;
  Urgency Waiting = Urgency::Normal;
  /// Deadline of a request that names none.
  absl::Duration DefaultDeadline = absl::Seconds(30);
  /// Whether a request may be run again when it does not say.
  bool RepeatableByDefault = false;
};

/// Settings of policy for a phase of operation.
struct Preset {
  PresetId Name;
  /// Weight of each kind; a kind that is not named has weight 1.
  std::map<KindId, double> KindWeights;
  /// Share of slots that only urgent kinds may use, 0 to 0.5.
  double UrgentReserve = 0.125;
  /// Whether jobs may use more than their account's guarantee.
  bool Borrowing = true;
  /// Whether short requests may be forwarded to another data centre.
  bool SpillOver = true;
  /// Whether deferrable kinds are admitted.
  bool AdmitDeferrable = true;
};

struct Limits {
  /// Most bytes of a request body.
  int64_t MaxBodyBytes = 1 << 20;
  /// Most short requests that one host queues.
  int MaxQueued = 100000;
  /// Retries as a share of successes.
  double RetryBudget = 0.1;
  absl::Duration ReclaimGrace = absl::Seconds(5);
  absl::Duration MaxGangWait = absl::Minutes(30);
};

/// The operators' configuration: one document, replaced as a whole.
struct Configuration {
  /// Increases by one with every accepted change.
  int64_t Generation = 0;
  /// Name of the preset in force; always one of Presets.
  PresetId PresetInForce;
  std::vector<ClientAccount> Accounts;
  std::vector<KindOfWork> Kinds;
  std::vector<Preset> Presets;
  Limits Bounds;

  const ClientAccount *findAccount(const ClientAccountId &Name) const;
  const KindOfWork *findKind(const KindId &Name) const;
  /// The preset in force. A validated configuration always has one.
  const Preset &preset() const;
};

} // namespace vanillayard

#endif
