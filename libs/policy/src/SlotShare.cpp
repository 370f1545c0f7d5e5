#include "policy/SlotShare.h"

#include <algorithm>

namespace vanillayard {

double SlotShare::update(const Sample &Seen, absl::Time Now) {
  double EqualShare = 1.0 / std::max(Seen.Hosts, 1);
  double MaxShare = 1.0 / (1 + Seen.OtherHostsWithBacklog);
  bool IsFirst = this->LastUpdate == absl::InfinitePast();
  double Seconds = IsFirst ? 0 : absl::ToDoubleSeconds(Now - this->LastUpdate);
  this->LastUpdate = Now;
  if (IsFirst || !Seen.IsBinding) {
    this->Share = EqualShare;
    return this->Share;
  }
  if (Seen.FreeShare > Seen.UrgentReserve + GrowthPerSecond)
    this->Share += GrowthPerSecond * Seconds;
  this->Share =
      std::clamp(this->Share, EqualShare, std::max(EqualShare, MaxShare));
  return this->Share;
}

} // namespace vanillayard
