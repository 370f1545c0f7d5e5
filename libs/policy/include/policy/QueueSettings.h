#ifndef VANILLAYARD_POLICY_QUEUESETTINGS_H
#define VANILLAYARD_POLICY_QUEUESETTINGS_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"

#include <cstddef>

namespace vanillayard {

struct Configuration;

/// Settings of an admission queue.
struct QueueSettings {
  struct KindSettings {
    /// Above 0. A kind that is not listed has weight 1.
    double Weight = 1;
    /// May use the slots reserved for urgent kinds.
    bool Urgent = false;
    /// Refused while AdmitDeferrable is false.
    bool Deferrable = false;
  };
  struct AccountSettings {
    /// Above 0. An account that is not listed has weight 1.
    double Weight = 1;
    /// Maximum number of queued items of the account, over all kinds.
    size_t MaxQueued = 10000;
  };

  absl::flat_hash_map<KindOfWorkId, KindSettings> Kinds;
  absl::flat_hash_map<ClientAccountId, AccountSettings> Accounts;
  /// Maximum number of queued items, over all kinds.
  size_t MaxQueued = 100000;
  /// Whether deferrable kinds are admitted.
  bool AdmitDeferrable = true;
  /// Refuses items whose expected waiting time exceeds the time left until
  /// their deadline.
  bool RefuseEarly = true;

  /// Settings of \p Kind, or the default if it is not listed.
  const KindSettings &kind(const KindOfWorkId &Kind) const;
  /// Settings of \p Account, or the default if it is not listed.
  const AccountSettings &account(const ClientAccountId &Account) const;

  /// Reads the settings from \p Config, with the kind weights of the preset in
  /// force, which \p Config must contain. Uses only the data members of
  /// \p Config.
  static QueueSettings fromConfiguration(const Configuration &Config);
};

} // namespace vanillayard

#endif
