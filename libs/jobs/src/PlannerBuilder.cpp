#include "PlannerImpl.h"
#include "base/Rendezvous.h"

namespace vanillayard {

using Builder = PlannerTask::Builder;

Builder &Builder::host(HostId Value) {
  this->Host = std::move(Value);
  return *this;
}

Builder &Builder::dataCentre(DataCentreId Value) {
  this->DataCentre = std::move(Value);
  return *this;
}

Builder &Builder::leaseTtl(absl::Duration Value) {
  this->LeaseTtl = Value;
  return *this;
}

Builder &Builder::renewInterval(absl::Duration Value) {
  this->RenewInterval = Value;
  return *this;
}

Builder &Builder::listInterval(absl::Duration Value) {
  this->ListInterval = Value;
  return *this;
}

Builder &Builder::takeoverDelay(absl::Duration Value) {
  this->TakeoverDelay = Value;
  return *this;
}

Builder &Builder::maxFailures(int Value) {
  this->MaxFailures = Value;
  return *this;
}

Builder &Builder::retention(absl::Duration Value) {
  this->Retention = Value;
  return *this;
}

Builder &Builder::placement(PlacementChoice Value) {
  this->Placement = Value;
  return *this;
}

Builder &Builder::onEvent(EventListener Value) {
  this->Listener = std::move(Value);
  return *this;
}

Builder &Builder::seed(uint64_t Value) {
  this->Seed = Value;
  return *this;
}

absl::StatusOr<std::unique_ptr<PlannerTask>> Builder::build() const {
  if (this->Host.empty() || this->DataCentre.empty())
    return absl::InvalidArgumentError(
        "the planner needs a host and a data centre");
  if (this->RenewInterval <= absl::ZeroDuration() ||
      this->LeaseTtl <= 2 * this->RenewInterval ||
      this->ListInterval <= absl::ZeroDuration() || this->MaxFailures < 1)
    return absl::InvalidArgumentError(
        "the lease must be longer than two renewal intervals, and the renewal "
        "interval, the list interval and the maximum of failures must be "
        "positive");
  Builder Options = *this;
  if (Options.Seed == 0)
    Options.Seed = stableHash(this->Host.str());
  return std::unique_ptr<PlannerTask>(new PlannerTask(Options));
}

PlannerTask::PlannerTask(const Builder &Options)
    : State(std::make_unique<Impl>(Options)) {}

PlannerTask::~PlannerTask() = default;

void PlannerTask::setActive(bool Active) {
  this->State->setActive(Active);
}

bool PlannerTask::isActive() const {
  return this->State->Active;
}

void PlannerTask::setConfiguration(
    std::shared_ptr<const Configuration> Config) {
  this->State->setConfiguration(std::move(Config));
}

void PlannerTask::setWorkers(const std::vector<PlannerWorker> &List) {
  this->State->setWorkers(List);
}

void PlannerTask::setDataCentreLost(const DataCentreId &Dc, bool Lost) {
  this->State->setDataCentreLost(Dc, Lost);
}

void PlannerTask::onJobChange(const JobChange &Notice) {
  this->State->onJobChange(Notice);
}

const JobRecord *PlannerTask::findJob(const JobId &Id) const {
  auto Found = this->State->Jobs.find(Id);
  return Found == this->State->Jobs.end() ? nullptr : &Found->second->Record;
}

PlannerReport PlannerTask::report() const {
  return this->State->report();
}

PlannerTask::JobCounts PlannerTask::counts() const {
  JobCounts Result;
  for (const auto &[Id, Job] : this->State->Jobs)
    switch (Job->Phase) {
    case JobPhase::Queued:
      ++Result.Queued;
      break;
    case JobPhase::Running:
      ++Result.Running;
      break;
    default:
      ++Result.Other;
    }
  return Result;
}

} // namespace vanillayard
