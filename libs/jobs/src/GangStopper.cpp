#include "GangStopper.h"

#include "base/ErrorKind.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

GangStopper::GangStopper(Executor &Exec, WorkerClient &Client, Epoch Holder,
                         std::vector<MemberPlacement> Members,
                         std::function<void()> Changed)
    : Exec(Exec), Client(Client), Holder(std::move(Holder)),
      Changed(std::move(Changed)) {
  for (MemberPlacement &Place : Members) {
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
    this->stop(I);
}

bool GangStopper::all(MemberFact Fact) const {
  return std::all_of(this->Entries.begin(), this->Entries.end(),
                     [Fact](const Entry &E) { return E.Fact == Fact; });
}

bool GangStopper::any(MemberFact Fact) const {
  return std::any_of(this->Entries.begin(), this->Entries.end(),
                     [Fact](const Entry &E) { return E.Fact == Fact; });
}

bool GangStopper::isComplete() const {
  return !this->any(MemberFact::Open);
}

void GangStopper::closeOpen(MemberFact Fact) {
  for (Entry &E : this->Entries)
    if (E.Fact == MemberFact::Open)
      E.Fact = Fact;
}

void GangStopper::stop(size_t Index) {
  const MemberPlacement &Place = this->Entries[Index].Place;
  this->Client.stop(
      Place.Address, Place.Lease, this->Holder,
      this->whileAlive([this, Index](const absl::StatusOr<LeaseReport> &R) {
        this->onStopped(Index, R);
      }));
}

void GangStopper::onStopped(size_t Index,
                            const absl::StatusOr<LeaseReport> &Report) {
  if (!Report.ok()) {
    if (errorKindOf(Report.status()) != ErrorKind::Conflict)
      return this->retry(Index);
    this->Superseded = true;
    return this->Changed();
  }
  switch (Report->State) {
  case LeaseState::Finished:
    return this->query(Index);
  case LeaseState::Failed:
    return this->settle(Index, MemberFact::Failed);
  case LeaseState::Stopped:
    return this->settle(Index, MemberFact::Ended);
  case LeaseState::Running:
    return this->retry(Index);
  default:
    // The lease is gone; only a revocation proves whether it was started.
    return this->revoke(Index);
  }
}

void GangStopper::revoke(size_t Index) {
  const MemberPlacement &Place = this->Entries[Index].Place;
  this->Client.revoke(
      Place.Address, Place.Lease,
      this->whileAlive([this, Index](const absl::StatusOr<RevokeResult> &R) {
        this->onRevoked(Index, R);
      }));
}

void GangStopper::onRevoked(size_t Index,
                            const absl::StatusOr<RevokeResult> &Result) {
  if (!Result.ok())
    return this->retry(Index);
  switch (*Result) {
  case RevokeResult::NeverStarted:
    return this->settle(Index, MemberFact::NeverStarted);
  case RevokeResult::Finished:
    return this->query(Index);
  case RevokeResult::Running:
    return this->retry(Index);
  case RevokeResult::Unknown:
    return this->settle(Index, MemberFact::Forgotten);
  }
}

void GangStopper::query(size_t Index) {
  const MemberPlacement &Place = this->Entries[Index].Place;
  this->Client.query(
      Place.Address, Place.Lease,
      this->whileAlive([this, Index](const absl::StatusOr<TaskResult> &R) {
        this->onQueried(Index, R);
      }));
}

void GangStopper::onQueried(size_t Index,
                            const absl::StatusOr<TaskResult> &Result) {
  if (!Result.ok() && errorKindOf(Result.status()) == ErrorKind::TaskFailed)
    return this->settle(Index, MemberFact::Failed);
  if (!Result.ok())
    return this->retry(Index);
  if (Result->State == LeaseState::Failed)
    return this->settle(Index, MemberFact::Failed);
  if (Result->State != LeaseState::Finished)
    return this->settle(Index, MemberFact::Ended);
  this->Entries[Index].Result = Result->Body;
  this->settle(Index, MemberFact::Finished);
}

void GangStopper::retry(size_t Index) {
  ++this->Entries[Index].Silences;
  this->Exec.runAfter(RetryInterval, this->whileAlive([this, Index] {
    if (this->Entries[Index].Fact == MemberFact::Open)
      this->stop(Index);
  }));
  this->Changed();
}

void GangStopper::settle(size_t Index, MemberFact Fact) {
  this->Entries[Index].Fact = Fact;
  this->Changed();
}

} // namespace vanillayard
