#include "WorkerLeaseBound.h"

#include "WorkerClock.h"

#include <algorithm>

namespace vanillayard {

absl::Time WorkerLeaseBound::longestLeaseEnd(absl::Time GrantedAt,
                                             absl::Duration LongestLease) {
  return GrantedAt + LongestLease / SlowestWorkerClock;
}

void WorkerLeaseBound::extend(absl::Time Time) {
  this->EndsBy = std::max(this->EndsBy, Time);
}

WorkerLeaseBound::CallId WorkerLeaseBound::callSent(absl::Time LeaseEndsBy,
                                                    absl::Time SentAt,
                                                    absl::Time TimesOutAt) {
  this->extend(LeaseEndsBy);
  CallId Id{this->NextCall++};
  this->Calls[Id] = {.SentAt = SentAt, .TimesOutAt = TimesOutAt};
  return Id;
}

void WorkerLeaseBound::answeredByTarget(CallId Id) {
  this->forgetCall(Id);
}

void WorkerLeaseBound::answeredByLaterIncarnation(CallId Id, absl::Time Now) {
  this->extend(longestLeaseEnd(Now, this->LongestLease));
  this->forgetCall(Id);
}

void WorkerLeaseBound::unanswered(CallId Id) {
  auto Found = this->Calls.find(Id);
  if (Found == this->Calls.end())
    return;
  Call &Ended = Found->second;
  Ended.IsInFlight = false;
  if (!Ended.IsTargetGone)
    return;
  // The later incarnation may have received the call and carry it out late.
  this->extend(
      longestLeaseEnd(Ended.SentAt + LongestOrderDelay, this->LongestLease));
  this->Calls.erase(Found);
}

void WorkerLeaseBound::incarnationConfirmed(absl::Time SentAt) {
  std::erase_if(this->Calls, [SentAt](const auto &Entry) {
    const Call &Known = Entry.second;
    return !Known.IsInFlight && !Known.IsTargetGone &&
           Known.TimesOutAt <= SentAt;
  });
}

void WorkerLeaseBound::incarnationEnded() {
  for (auto It = this->Calls.begin(); It != this->Calls.end();) {
    Call &Known = It->second;
    Known.IsTargetGone = true;
    if (Known.IsInFlight) {
      ++It;
      continue;
    }
    this->extend(
        longestLeaseEnd(Known.SentAt + LongestOrderDelay, this->LongestLease));
    It = this->Calls.erase(It);
  }
}

absl::Time WorkerLeaseBound::endsBy() const {
  absl::Time Latest = this->EndsBy;
  for (const auto &[Id, Known] : this->Calls)
    if (Known.IsTargetGone)
      Latest = std::max(Latest,
                        longestLeaseEnd(Known.TimesOutAt, this->LongestLease));
  return Latest;
}

} // namespace vanillayard
