#ifndef VANILLAYARD_POLICY_QUEUESETTINGS_H
#define VANILLAYARD_POLICY_QUEUESETTINGS_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>

namespace vanillayard {

struct Configuration;

/// The part of a configuration that an admission queue needs.
struct QueueSettings {
  struct KindShare {
    /// Above 0. A kind that is not listed has weight 1.
    double Weight = 1;
    /// May use the urgent reserve of slots.
    bool Urgent = false;
    bool Deferrable = false;
  };
  struct AccountShare {
    /// Above 0. An account that is not listed has weight 1.
    double Weight = 1;
    size_t MaxQueued = 10000;
  };

  absl::flat_hash_map<KindId, KindShare> Kinds;
  absl::flat_hash_map<ClientAccountId, AccountShare> Accounts;
  /// Most items of all kinds.
  size_t MaxQueued = 100000;
  /// Whether deferrable kinds are admitted.
  bool AdmitDeferrable = true;
  /// Refuses items whose expected waiting time exceeds their deadline.
  bool RefuseEarly = true;

  const KindShare &kind(const KindId &Kind) const;
  const AccountShare &account(const ClientAccountId &Account) const;

  /// Takes the weights of the preset in force. Uses only the data members of
  /// \p Config; \p Config must contain its preset in force.
  static QueueSettings from(const Configuration &Config);
};

} // namespace vanillayard

#endif
