#ifndef VANILLAYARD_PLACEMENT_RUNTIMECORRECTION_H
#define VANILLAYARD_PLACEMENT_RUNTIMECORRECTION_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"
#include "absl/time/time.h"

#include <utility>

namespace vanillayard {

/// Learns by how much declared run times are wrong, for each account and kind
/// of work, from the jobs that finished.
class RunTimeCorrection {
public:
  /// Notes a finished job. Ignored unless both times are positive.
  void learn(const ClientAccountId &Account, const KindId &Kind,
             absl::Duration Declared, absl::Duration Actual);

  /// Expected run time; \p Declared if nothing is known.
  absl::Duration expected(const ClientAccountId &Account, const KindId &Kind,
                          absl::Duration Declared) const;

private:
  using Key = std::pair<ClientAccountId, KindId>;

  /// Weight of the newest job in the moving average.
  static constexpr double Newest = 0.2;
  /// Declared times are off by up to 10 times either way; a factor beyond
  /// that is treated as an accident of one job.
  static constexpr double LargestFactor = 10;

  /// Moving average of the logarithm of actual over declared.
  absl::flat_hash_map<Key, double> LogFactors;
};

} // namespace vanillayard

#endif
