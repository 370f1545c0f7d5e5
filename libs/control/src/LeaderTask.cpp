#include "control/LeaderTask.h"

#include "LeaderTaskImpl.h"
#include "fleet/QueueTable.h"
#include "observe/Metrics.h"

#include <cassert>
#include <utility>

namespace vanillayard {

LeaderTask::LeaderTask(Executor &Exec, CoordinationStore &Store,
                       WorkerGateway &Gateway, WorkerDirectory &Directory,
                       const LeaderOptions &Options, Log &Events,
                       Metrics &MetricRegistry)
    : Exec(Exec), Store(Store), Gateway(Gateway), Directory(Directory),
      Options(Options), Events(Events), MetricRegistry(MetricRegistry) {}

LeaderTask::~LeaderTask() {
  this->roleLost();
}

void LeaderTask::setRole(LeaderRole &Holder) {
  this->Role = &Holder;
}

void LeaderTask::configurationChanged(std::shared_ptr<const QueueTable> Newer) {
  this->Configuration = std::move(Newer);
  if (this->Current)
    this->Current->configurationChanged(*this->Configuration);
}

void LeaderTask::roleGained(int64_t Fence) {
  assert(this->Role && "setRole() must be called first");
  this->MetricRegistry
      .counter("vanillayard_role_changes_total",
               "times that this host has gained or lost the leader's role",
               {{"change", "gained"}})
      .add();
  this->Current = std::make_shared<Term>(
      Term::Ports{this->Exec, this->Store, this->Gateway, this->Directory,
                  *this->Role, this->Events, this->MetricRegistry},
      this->Options, Fence);
  if (this->Configuration)
    this->Current->configurationChanged(*this->Configuration);
  this->Current->begin();
}

void LeaderTask::roleReclaimed(int64_t KeyRevision) {
  if (this->Current)
    this->Current->leaderKeyRewritten(KeyRevision);
}

void LeaderTask::roleLost() {
  std::shared_ptr<Term> Ended = std::exchange(this->Current, nullptr);
  if (!Ended)
    return;
  Ended->end();
  this->MetricRegistry
      .counter("vanillayard_role_changes_total",
               "times that this host has gained or lost the leader's role",
               {{"change", "lost"}})
      .add();
}

bool LeaderTask::isServing() const {
  return this->Current && this->Current->isServing();
}

size_t LeaderTask::jobCount() const {
  return this->Current ? this->Current->jobCount() : 0;
}

std::map<std::string, int64_t> LeaderTask::waitingJobsByQueue() const {
  return this->Current ? this->Current->waitingJobsByQueue()
                       : std::map<std::string, int64_t>();
}

std::map<WaitReason, int64_t> LeaderTask::waitingTasksByReason() const {
  return this->Current ? this->Current->waitingTasksByReason()
                       : std::map<WaitReason, int64_t>();
}

EvacuationUse LeaderTask::evacuationUse() const {
  return this->Current ? this->Current->evacuationUse() : EvacuationUse();
}

std::vector<RunTimeModel::QueueError> LeaderTask::runTimeErrors() const {
  return this->Current ? this->Current->runTimeErrors()
                       : std::vector<RunTimeModel::QueueError>();
}

size_t LeaderTask::slowWorkerCount() const {
  return this->Current ? this->Current->slowWorkerCount() : 0;
}

size_t LeaderTask::workerCount() const {
  return this->Current ? this->Current->workerCount() : 0;
}

} // namespace vanillayard
