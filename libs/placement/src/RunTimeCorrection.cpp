#include "placement/RunTimeCorrection.h"

#include <algorithm>
#include <cmath>

namespace vanillayard {

void RunTimeCorrection::learn(const ClientAccountId &Account,
                              const KindOfWorkId &Kind, absl::Duration Declared,
                              absl::Duration Actual) {
  if (Declared <= absl::ZeroDuration() || Actual <= absl::ZeroDuration())
    return;
  double Log = std::log(absl::FDivDuration(Actual, Declared));
  double Bound = std::log(MaxFactor);
  Log = std::clamp(Log, -Bound, Bound);
  auto [Found, New] = this->LogFactors.try_emplace(Key(Account, Kind), Log);
  if (!New)
    Found->second += NewestJobWeight * (Log - Found->second);
}

absl::Duration RunTimeCorrection::expected(const ClientAccountId &Account,
                                           const KindOfWorkId &Kind,
                                           absl::Duration Declared) const {
  auto Found = this->LogFactors.find(Key(Account, Kind));
  if (Found == this->LogFactors.end())
    return Declared;
  return Declared * std::exp(Found->second);
}

} // namespace vanillayard
