#ifndef VANILLAYARD_PLACEMENT_RUNTIMECORRECTION_H
#define VANILLAYARD_PLACEMENT_RUNTIMECORRECTION_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <utility>

namespace vanillayard {

/// Corrects declared run times by the ratio of actual to declared run time of
/// finished jobs, for each client account and kind of work.
class RunTimeCorrection {
public:
  /// Updates the ratio with a finished job. Ignores the job unless both times
  /// are positive.
  void learn(const ClientAccountId &Account, const KindOfWorkId &Kind,
             absl::Duration Declared, absl::Duration Actual);

  /// \returns the expected run time; \p Declared if no job of this account and
  ///          kind has finished.
  absl::Duration expected(const ClientAccountId &Account,
                          const KindOfWorkId &Kind,
                          absl::Duration Declared) const;

private:
  using Key = std::pair<ClientAccountId, KindOfWorkId>;

  /// Weight of the newest job in the moving average.
  static constexpr double NewestJobWeight = 0.2;
  /// Limit of the ratio and of its inverse. Declared times are wrong by up to
  /// 10 times either way; a larger ratio is treated as an outlier.
  static constexpr double MaxFactor = 10;

  /// Moving average of the logarithm of actual over declared run time.
  absl::flat_hash_map<Key, double> LogFactors;
};

} // namespace vanillayard

#endif
