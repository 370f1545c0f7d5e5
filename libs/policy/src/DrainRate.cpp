#include "DrainRate.h"

#include <algorithm>
#include <cmath>

namespace vanillayard {

// Time constant of the exponential decay. Long enough to smooth bursts of
// completions, short enough for the rate to adapt to the loss of a rack within
// the deadline of normal work.
static constexpr double TimeConstantSeconds = 10;

void DrainRate::decay(absl::Time Now) {
  if (this->LastDecay == absl::InfinitePast()) {
    this->LastDecay = Now;
    return;
  }
  double Seconds = absl::ToDoubleSeconds(Now - this->LastDecay);
  if (Seconds < 0.1)
    return;
  double Factor = std::exp(-Seconds / TimeConstantSeconds);
  this->Pops *= Factor;
  this->BusySeconds *= Factor;
  this->LastDecay = Now;
}

void DrainRate::addBusyTime(absl::Time Now, size_t Backlog) {
  if (this->BusySince < Now)
    this->BusySeconds += absl::ToDoubleSeconds(Now - this->BusySince);
  this->BusySince = Backlog > 0 ? Now : absl::InfiniteFuture();
}

void DrainRate::onPush(absl::Time Now, size_t Backlog) {
  // The queue does not report cancelled items, so the backlog may have been
  // empty since the last call.
  if (Backlog == 1)
    this->BusySince = Now;
}

void DrainRate::onPop(absl::Time Now, size_t Backlog) {
  this->decay(Now);
  this->addBusyTime(Now, Backlog);
  this->Pops += 1;
}

void DrainRate::onRemove(absl::Time Now, size_t Backlog) {
  if (Backlog == 0)
    this->addBusyTime(Now, Backlog);
}

absl::Duration DrainRate::timeToServe(double Items, absl::Time Now) const {
  double Busy = this->BusySeconds;
  if (this->BusySince < Now)
    Busy += absl::ToDoubleSeconds(Now - this->BusySince);
  // The added 1 keeps the rate above zero before the first item is served.
  return absl::Seconds(Items * Busy / (this->Pops + 1));
}

} // namespace vanillayard
