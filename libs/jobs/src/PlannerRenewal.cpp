#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

/// Calls without an answer block further renewals on their worker this long.
static constexpr absl::Duration CallGuard = absl::Seconds(3);
/// Refused connections in a row after which a worker's leases count as lost.
static constexpr int RefusalsToLoss = 2;

// One call for each worker. A gang is renewed as a whole: while one member's
// renewal has no answer, only that one is tried again, so that the others
// never outlive it by more than the lease time-to-live.
void PlannerTask::Impl::renewAll() {
  struct Batch {
    std::vector<LeaseId> Leases;
    std::vector<std::pair<JobId, size_t>> Owners;
  };
  std::vector<PlannedJob *> Running;
  for (auto &[Id, Job] : this->Jobs)
    if (Job->Phase == JobPhase::Running)
      Running.push_back(Job.get());
  std::map<WorkerId, Batch> Batches;
  for (PlannedJob *Job : Running) {
    this->checkLoss(*Job);
    if (Job->Phase != JobPhase::Running)
      continue;
    absl::Time Limit = Job->oldestRenewal() + this->Options.RenewInterval / 2;
    for (size_t I = 0; I < Job->Members.size(); ++I) {
      const GangMember &Member = Job->Members[I];
      bool Active = Member.State == LeaseState::Held ||
                    Member.State == LeaseState::Running;
      // Also asked once after a takeover, to learn its state.
      bool Asked = !Member.Confirmed && Member.State == LeaseState::Finished;
      if (!Asked && (!Active || Member.RenewedAt > Limit))
        continue;
      Batch &B = Batches[Member.Place.Worker];
      B.Leases.push_back(Member.Place.Lease);
      B.Owners.emplace_back(Job->Record.Id, I);
    }
  }
  for (auto &[Worker, B] : Batches)
    this->renewWorker(Worker, std::move(B.Leases), std::move(B.Owners));
}

void PlannerTask::Impl::checkLoss(PlannedJob &Job) {
  if (this->now() - Job.oldestRenewal() < this->renewTtl())
    return;
  this->beginStop(Job);
}

void PlannerTask::Impl::renewWorker(
    const WorkerId &Worker, std::vector<LeaseId> Leases,
    std::vector<std::pair<JobId, size_t>> Owners) {
  absl::Time Sent = this->now();
  auto Open = this->RenewalOpen.find(Worker);
  if (Open != this->RenewalOpen.end() && Sent - Open->second < CallGuard)
    return;
  this->RenewalOpen[Worker] = Sent;
  const GangMember &Any =
      this->Jobs.at(Owners.front().first)->Members[Owners.front().second];
  const PlannerWorker *Known = this->Workers.find(Worker);
  const Endpoint Address = Known ? Known->Address : Any.Place.Address;
  this->workers().renew(
      Address, Leases, this->Current, this->renewTtl(),
      this->whileActive([this, Worker, Owners = std::move(Owners),
                         Sent](const absl::StatusOr<RenewResult> &Result) {
        auto Last = this->RenewalOpen.find(Worker);
        if (Last != this->RenewalOpen.end() && Last->second == Sent)
          this->RenewalOpen.erase(Last);
        this->onRenewed(Owners, Sent, Result);
      }));
}

void PlannerTask::Impl::onRenewed(
    const std::vector<std::pair<JobId, size_t>> &Owners, absl::Time Sent,
    const absl::StatusOr<RenewResult> &Result) {
  absl::flat_hash_map<LeaseId, const LeaseReport *> Reports;
  if (Result.ok()) {
    this->noteEpochs(Result->Status);
    for (const LeaseReport &Report : Result->Status.Leases)
      Reports[Report.Lease] = &Report;
  }
  for (const auto &[Id, Index] : Owners) {
    auto Found = this->Jobs.find(Id);
    if (Found == this->Jobs.end() ||
        Found->second->Phase != JobPhase::Running ||
        Index >= Found->second->Members.size())
      continue;
    PlannedJob &Job = *Found->second;
    GangMember &Member = Job.Members[Index];
    if (!Result.ok()) {
      this->applyNoAnswer(Job, Member, Result.status());
      continue;
    }
    auto Report = Reports.find(Member.Place.Lease);
    const LeaseReport *Seen =
        Report == Reports.end() ? nullptr : Report->second;
    if (Seen && this->Current < Seen->Holder)
      this->drop(Job);
    else
      this->applyReport(Job, Member, Sent, Seen);
  }
}

void PlannerTask::Impl::applyReport(PlannedJob &Job, GangMember &Member,
                                    absl::Time Sent,
                                    const LeaseReport *Report) {
  Member.Refusals = 0;
  Member.Confirmed = true;
  if (!Report) {
    Member.Lost = true;
    return this->evaluate(Job);
  }
  Member.Checkpointed |= Report->Checkpointed;
  bool Started = Member.State == LeaseState::Running;
  // An answer may have been made before a start that was answered earlier.
  if (!(Started && Report->State == LeaseState::Held))
    Member.State = Report->State;
  Member.RenewedAt = std::max(Member.RenewedAt, Sent);
  this->evaluate(Job);
}

void PlannerTask::Impl::applyNoAnswer(PlannedJob &Job, GangMember &Member,
                                      const absl::Status &Error) {
  if (errorKindOf(Error) != ErrorKind::NoCapacity) {
    Member.Refusals = 0;
    return;
  }
  // No process listens at the address, so its leases are gone with it.
  if (++Member.Refusals < RefusalsToLoss)
    return;
  Member.Lost = true;
  this->evaluate(Job);
}

} // namespace vanillayard
