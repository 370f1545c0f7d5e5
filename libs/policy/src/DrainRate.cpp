#include "DrainRate.h"

#include <algorithm>
#include <cmath>

namespace vanillayard {

// Long enough to smooth over bursts of completions, short enough to follow a
// lost rack within the deadline of normal work.
static constexpr double MemorySeconds = 10;

void DrainRate::decay(absl::Time Now) {
  if (this->LastDecay == absl::InfinitePast()) {
    this->LastDecay = Now;
    return;
  }
  double Seconds = absl::ToDoubleSeconds(Now - this->LastDecay);
  if (Seconds < 0.1)
    return;
  double Factor = std::exp(-Seconds / MemorySeconds);
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
  // Cancelled items leave without notice, so the backlog may have been empty.
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

absl::Duration DrainRate::timeFor(double Items, absl::Time Now) const {
  double Busy = this->BusySeconds;
  if (this->BusySince < Now)
    Busy += absl::ToDoubleSeconds(Now - this->BusySince);
  // One assumed pop keeps the rate above zero when nothing was served yet.
  return absl::Seconds(Items * Busy / (this->Pops + 1));
}

} // namespace vanillayard
