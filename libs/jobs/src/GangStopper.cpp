#include "GangStopper.h"

#include "base/ErrorKind.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

GangStopper::GangStopper(Executor &Exec, WorkerClient &Client,
                         Epoch PlannerEpoch, std::vector<MemberLease> Members,
                         std::function<void()> Changed)
    : Exec(Exec), Client(Client), PlannerEpoch(std::move(PlannerEpoch)),
      Changed(std::move(Changed)) {
  for (MemberLease &Place : Members) {
    Entry New;
    New.Place = std::move(Place);
    this->Entries.push_back(std::move(New));
  }
}

GangStopper::~GangStopper() = default;

template <typename Work> auto GangStopper::whileAlive(Work Then) {
  return [Weak = std::weak_ptr<bool>(this->Alive),
          Then = std::move(Then)](auto &&...Arguments) {
    if (Weak.lock())
      Then(std::forward<decltype(Arguments)>(Arguments)...);
  };
}

void GangStopper::start() {
  for (size_t I = 0; I < this->Entries.size(); ++I)
    this->stopMember(I);
}

bool GangStopper::allMembers(MemberOutcome Outcome) const {
  return std::all_of(
      this->Entries.begin(), this->Entries.end(),
      [Outcome](const Entry &E) { return E.Outcome == Outcome; });
}

bool GangStopper::anyMember(MemberOutcome Outcome) const {
  return std::any_of(
      this->Entries.begin(), this->Entries.end(),
      [Outcome](const Entry &E) { return E.Outcome == Outcome; });
}

bool GangStopper::isComplete() const {
  return !this->anyMember(MemberOutcome::Pending);
}

void GangStopper::resolvePending(MemberOutcome Outcome) {
  for (Entry &E : this->Entries)
    if (E.Outcome == MemberOutcome::Pending)
      E.Outcome = Outcome;
}

void GangStopper::stopMember(size_t Index) {
  const MemberLease &Place = this->Entries[Index].Place;
  this->Client.stop(
      Place.Address, Place.Lease, this->PlannerEpoch,
      this->whileAlive([this, Index](const absl::StatusOr<LeaseReport> &R) {
        this->onStopped(Index, R);
      }));
}

void GangStopper::onStopped(size_t Index,
                            const absl::StatusOr<LeaseReport> &Report) {
  if (!Report.ok()) {
    if (errorKindOf(Report.status()) != ErrorKind::Conflict)
      return this->scheduleRetry(Index);
    this->Superseded = true;
    return this->Changed();
  }
  switch (Report->State) {
  case LeaseState::Finished:
    return this->queryResult(Index);
  case LeaseState::Failed:
    return this->setOutcome(Index, MemberOutcome::Failed);
  case LeaseState::Stopped:
    return this->setOutcome(Index, MemberOutcome::Stopped);
  case LeaseState::Running:
    return this->scheduleRetry(Index);
  default:
    // The lease is no longer valid; only revoking it proves whether the member
    // was started.
    return this->revokeLease(Index);
  }
}

void GangStopper::revokeLease(size_t Index) {
  const MemberLease &Place = this->Entries[Index].Place;
  this->Client.revoke(
      Place.Address, Place.Lease,
      this->whileAlive([this, Index](const absl::StatusOr<RevokeResult> &R) {
        this->onRevoked(Index, R);
      }));
}

void GangStopper::onRevoked(size_t Index,
                            const absl::StatusOr<RevokeResult> &Result) {
  if (!Result.ok())
    return this->scheduleRetry(Index);
  switch (*Result) {
  case RevokeResult::NeverStarted:
    return this->setOutcome(Index, MemberOutcome::NeverStarted);
  case RevokeResult::Finished:
    return this->queryResult(Index);
  case RevokeResult::Running:
    return this->scheduleRetry(Index);
  case RevokeResult::Unknown:
    return this->setOutcome(Index, MemberOutcome::Unknown);
  }
}

void GangStopper::queryResult(size_t Index) {
  const MemberLease &Place = this->Entries[Index].Place;
  this->Client.query(
      Place.Address, Place.Lease,
      this->whileAlive([this, Index](const absl::StatusOr<TaskResult> &R) {
        this->onQueried(Index, R);
      }));
}

void GangStopper::onQueried(size_t Index,
                            const absl::StatusOr<TaskResult> &Result) {
  if (!Result.ok() && errorKindOf(Result.status()) == ErrorKind::TaskFailed)
    return this->setOutcome(Index, MemberOutcome::Failed);
  if (!Result.ok())
    return this->scheduleRetry(Index);
  if (Result->State == LeaseState::Failed)
    return this->setOutcome(Index, MemberOutcome::Failed);
  if (Result->State != LeaseState::Finished)
    return this->setOutcome(Index, MemberOutcome::Stopped);
  this->Entries[Index].Result = Result->Body;
  this->setOutcome(Index, MemberOutcome::Finished);
}

void GangStopper::scheduleRetry(size_t Index) {
  ++this->Entries[Index].Retries;
  this->Exec.runAfter(RetryInterval, this->whileAlive([this, Index] {
    if (this->Entries[Index].Outcome == MemberOutcome::Pending)
      this->stopMember(Index);
  }));
  this->Changed();
}

void GangStopper::setOutcome(size_t Index, MemberOutcome Outcome) {
  this->Entries[Index].Outcome = Outcome;
  this->Changed();
}

} // namespace vanillayard
