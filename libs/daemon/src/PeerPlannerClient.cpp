#include "daemon/PeerPlannerClient.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"
#include "jobs/PlannerTask.h"
#include "peer/Membership.h"
#include "wire/Envelope.h"

#include <optional>

namespace vanillayard {

struct PeerPlannerClient::Query {
  JobId Id;
  std::vector<HostId> RemainingPlanners;
  Callback Done;
};

void PeerPlannerClient::notify(const JobChange &Change) {
  this->notifyOrRetry(Change, MaxRetries);
}

void PeerPlannerClient::retryLater(const JobChange &Change, int RetriesLeft) {
  if (RetriesLeft == 0)
    return;
  this->Exec.runAfter(
      RetryInterval,
      [this, Change, RetriesLeft, Guard = std::weak_ptr<bool>(this->Alive)] {
        if (!Guard.expired())
          this->notifyOrRetry(Change, RetriesLeft - 1);
      });
}

void PeerPlannerClient::notifyOrRetry(const JobChange &Change,
                                      int RetriesLeft) {
  if (Change.DataCentre == this->DataCentre && this->Planner.isActive()) {
    this->Planner.onJobChange(Change);
    return;
  }
  std::optional<HostId> To = this->Peers.planner(Change.DataCentre);
  if (!To || *To == this->Peers.self())
    return this->retryLater(Change, RetriesLeft);
  // Delivery is not acknowledged. If the notice is lost, the planner learns of
  // the change when it next lists the records.
  absl::Status Sent = isTerminal(Change.State)
                          ? this->Peers.send(*To, CancelNotice{Change.Job})
                          : this->Peers.send(*To, JobNotice{Change.Job, ""});
  if (!Sent.ok())
    this->retryLater(Change, RetriesLeft);
}

std::vector<HostId> PeerPlannerClient::remotePlanners() const {
  std::vector<HostId> Result;
  for (const DataCentreId &Id : this->Peers.dataCentres()) {
    std::optional<HostId> Host = this->Peers.planner(Id);
    if (Host && *Host != this->Peers.self())
      Result.push_back(*Host);
  }
  return Result;
}

void PeerPlannerClient::find(const JobId &Id, Callback Done) {
  if (const JobRecord *Known = this->Planner.findJob(Id)) {
    this->Exec.post(
        [Done = std::move(Done), Record = *Known] { Done(Record); });
    return;
  }
  auto State = std::make_shared<Query>();
  State->Id = Id;
  State->RemainingPlanners = this->remotePlanners();
  State->Done = std::move(Done);
  this->Exec.post([this, State, Guard = std::weak_ptr<bool>(this->Alive)] {
    if (!Guard.expired())
      this->askNextPlanner(State);
  });
}

void PeerPlannerClient::askNextPlanner(const std::shared_ptr<Query> &State) {
  if (State->RemainingPlanners.empty()) {
    State->Done(
        makeError(ErrorKind::NotFound, "no reachable planner knows the job"));
    return;
  }
  HostId To = std::move(State->RemainingPlanners.back());
  State->RemainingPlanners.pop_back();
  this->Peers.request(
      To, JobQuery{State->Id}, QueryTimeout,
      [this, State, Guard = std::weak_ptr<bool>(this->Alive)](
          const absl::StatusOr<Envelope> &Reply) {
        if (Guard.expired())
          return;
        const JobReply *Answer =
            Reply.ok() ? std::get_if<JobReply>(&Reply->Message) : nullptr;
        if (!Answer || Answer->Record.empty())
          return this->askNextPlanner(State);
        absl::StatusOr<JobRecord> Record = JobRecord::decode(Answer->Record);
        if (!Record.ok() || Record->Id != State->Id)
          return this->askNextPlanner(State);
        State->Done(*std::move(Record));
      });
}

} // namespace vanillayard
