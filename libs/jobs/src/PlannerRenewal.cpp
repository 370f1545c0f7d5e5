#include "PlannerImpl.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

/// How long a renewal without an answer blocks further renewals on its worker.
static constexpr absl::Duration RenewalTimeout = absl::Seconds(3);
/// Consecutive refused connections after which a worker's leases count as lost.
static constexpr int RefusalsUntilLost = 2;

// Renews leases with one call for each worker. A gang is renewed as a whole:
// while one member's renewal has no answer, only that one is retried, so that
// the others never outlive it by more than the lease time-to-live.
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
    this->checkLeaseExpiry(*Job);
    if (Job->Phase != JobPhase::Running)
      continue;
    absl::Time Limit = Job->oldestRenewal() + this->Options.RenewInterval / 2;
    for (size_t I = 0; I < Job->Members.size(); ++I) {
      const GangMember &Member = Job->Members[I];
      bool Active = Member.State == LeaseState::Held ||
                    Member.State == LeaseState::Running;
      // After a takeover, a finished member is included once to get its report.
      bool NeedsReport =
          !Member.Confirmed && Member.State == LeaseState::Finished;
      if (!NeedsReport && (!Active || Member.RenewedAt > Limit))
        continue;
      Batch &B = Batches[Member.Place.Worker];
      B.Leases.push_back(Member.Place.Lease);
      B.Owners.emplace_back(Job->Record.Id, I);
    }
  }
  for (auto &[Worker, B] : Batches)
    this->renewWorker(Worker, std::move(B.Leases), std::move(B.Owners));
}

void PlannerTask::Impl::checkLeaseExpiry(PlannedJob &Job) {
  if (this->now() - Job.oldestRenewal() < this->renewTtl())
    return;
  this->beginStop(Job);
}

void PlannerTask::Impl::renewWorker(
    const WorkerId &Worker, std::vector<LeaseId> Leases,
    std::vector<std::pair<JobId, size_t>> Owners) {
  absl::Time Sent = this->now();
  auto Open = this->RenewalSentAt.find(Worker);
  if (Open != this->RenewalSentAt.end() && Sent - Open->second < RenewalTimeout)
    return;
  this->RenewalSentAt[Worker] = Sent;
  const GangMember &Any =
      this->Jobs.at(Owners.front().first)->Members[Owners.front().second];
  const PlannerWorker *Known = this->Workers.findWorker(Worker);
  const Endpoint Address = Known ? Known->Address : Any.Place.Address;
  this->workerClient().renew(
      Address, Leases, this->CurrentEpoch, this->renewTtl(),
      this->whileActive([this, Worker, Owners = std::move(Owners),
                         Sent](const absl::StatusOr<RenewResult> &Result) {
        auto Last = this->RenewalSentAt.find(Worker);
        if (Last != this->RenewalSentAt.end() && Last->second == Sent)
          this->RenewalSentAt.erase(Last);
        this->onRenewed(Owners, Sent, Result);
      }));
}

void PlannerTask::Impl::onRenewed(
    const std::vector<std::pair<JobId, size_t>> &Owners, absl::Time Sent,
    const absl::StatusOr<RenewResult> &Result) {
  absl::flat_hash_map<LeaseId, const LeaseReport *> Reports;
  if (Result.ok()) {
    this->updateHighestTerm(Result->Status);
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
      this->applyRenewalError(Job, Member, Result.status());
      continue;
    }
    auto Report = Reports.find(Member.Place.Lease);
    const LeaseReport *Seen =
        Report == Reports.end() ? nullptr : Report->second;
    if (Seen && this->CurrentEpoch < Seen->Holder)
      this->onSuperseded(Job);
    else
      this->applyLeaseReport(Job, Member, Sent, Seen);
  }
}

void PlannerTask::Impl::applyLeaseReport(PlannedJob &Job, GangMember &Member,
                                         absl::Time Sent,
                                         const LeaseReport *Report) {
  Member.Refusals = 0;
  Member.Confirmed = true;
  if (!Report) {
    Member.Lost = true;
    return this->evaluateGang(Job);
  }
  Member.Checkpointed |= Report->Checkpointed;
  bool Started = Member.State == LeaseState::Running;
  // The worker may have written this report before it started the member, even
  // if the answer to the start arrived first.
  if (!(Started && Report->State == LeaseState::Held))
    Member.State = Report->State;
  Member.RenewedAt = std::max(Member.RenewedAt, Sent);
  this->evaluateGang(Job);
}

void PlannerTask::Impl::applyRenewalError(PlannedJob &Job, GangMember &Member,
                                          const absl::Status &Error) {
  if (errorKindOf(Error) != ErrorKind::NoCapacity) {
    Member.Refusals = 0;
    return;
  }
  // No process listens at the address, so the worker's leases are lost.
  if (++Member.Refusals < RefusalsUntilLost)
    return;
  Member.Lost = true;
  this->evaluateGang(Job);
}

} // namespace vanillayard
