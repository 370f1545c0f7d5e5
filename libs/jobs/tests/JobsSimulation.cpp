#include "JobsSimulation.h"

#include "base/ErrorKind.h"
#include "standin_worker/TaskBody.h"

#include <fmt/format.h>

#include <algorithm>

namespace vanillayard {

static constexpr absl::Duration StepTime = absl::Milliseconds(100);

Configuration JobsSimulation::defaultConfiguration(int Cells) {
  Configuration Config;
  Config.Generation = 1;
  Config.PresetInForce = PresetId("ordinary");
  Preset Ordinary;
  Ordinary.Name = Config.PresetInForce;
  Config.Presets.push_back(Ordinary);
  KindOfWork Kind;
  Kind.Name = KindOfWorkId("separation");
  Config.Kinds.push_back(Kind);
  for (const char *Name : {"big", "small", "other"}) {
    ClientAccount Account;
    Account.Name = ClientAccountId(Name);
    Config.Accounts.push_back(Account);
  }
  if (Cells > 0)
    Config.Accounts[0].Guarantees.push_back({DataCentreId("dc1"), 8, 1, Cells});
  return Config;
}

JobSpec JobsSimulation::makeSpec(const std::string &Account, int Members,
                                 int AcceleratorsPerMember,
                                 absl::Duration RunTime, bool Repeatable) {
  JobSpec Spec;
  Spec.Account = ClientAccountId(Account);
  Spec.Caller = CallerId("caller");
  Spec.Kind = KindOfWorkId("separation");
  Spec.Repeatable = Repeatable;
  Spec.Shape = {Members, AcceleratorsPerMember, Adjacency::DataCentre};
  Spec.DeclaredRunTime = RunTime;
  Spec.Body = TaskBody::make(RunTime);
  return Spec;
}

JobsSimulation::JobsSimulation(int Racks, int WorkersPerRack, int HostCount,
                               Configuration InitialConfig)
    : Data(std::make_shared<FakeStoreData>()),
      Config(std::make_shared<const Configuration>(std::move(InitialConfig))) {
  for (int R = 0; R < Racks; ++R)
    for (int W = 0; W < WorkersPerRack; ++W) {
      std::string Name = fmt::format("r{}w{}", R, W);
      Endpoint Address(Name + ":1");
      this->Fleet.add(Address, WorkerModel::Builder(this->Exec)
                                   .name(WorkerId(Name))
                                   .rack(RackId(fmt::format("r{}", R))));
      this->Addresses.push_back(Address);
      PlannerWorker Worker;
      Worker.Id = WorkerId(Name);
      Worker.Rack = RackId(fmt::format("r{}", R));
      Worker.Address = Address;
      this->WorkerList.push_back(Worker);
    }
  for (int H = 0; H < HostCount; ++H) {
    this->Hosts.emplace_back();
    this->makeHost(static_cast<size_t>(H));
  }
}

JobsSimulation::~JobsSimulation() {
  this->Hosts.clear();
}

void JobsSimulation::makeHost(size_t Index) {
  JobsHost &Host = this->Hosts[Index];
  this->Executors.push_back(std::make_unique<PausableExecutor>(this->Exec));
  Host.Exec = this->Executors.back().get();
  Host.Store = std::make_unique<FakeStore>(*Host.Exec, this->Data);
  Host.Workers = std::make_unique<FakeFleetClient>(*Host.Exec, this->Fleet);
  auto Built = PlannerTask::Builder(*Host.Exec, *Host.Store, *Host.Workers)
                   .host(HostId(fmt::format("e{}", Index)))
                   .dataCentre(this->DataCentre)
                   .leaseTtl(LeaseTtl)
                   .build();
  Host.Planner = *std::move(Built);
  Host.Planner->setConfiguration(this->Config);
  Host.Planner->setWorkers(this->WorkerList);
  Host.Jobs = std::make_unique<JobService>(*Host.Exec, *Host.Store, *this,
                                           this->DataCentre,
                                           [this] { return this->Config; });
}

void JobsSimulation::killHost(size_t Index) {
  JobsHost &Host = this->Hosts[Index];
  Host.Jobs.reset();
  Host.Planner.reset();
  Host.Workers.reset();
  Host.Store.reset();
}

void JobsSimulation::restartHost(size_t Index) {
  this->killHost(Index);
  this->makeHost(Index);
}

void JobsSimulation::failOver(size_t From, size_t To, bool Kill) {
  static constexpr absl::Duration FailureDetectionTime = absl::Seconds(6);
  if (Kill)
    this->killHost(From);
  else
    this->Hosts[From].Exec->setPaused(true);
  this->Exec.runAfter(FailureDetectionTime, [this, To] {
    if (this->Hosts[To].Planner)
      this->Hosts[To].Planner->setActive(true);
  });
}

void JobsSimulation::heal(size_t Planner) {
  for (const Endpoint &Address : this->Addresses) {
    if (!this->Fleet.isAlive(Address))
      this->Fleet.restart(Address);
    this->Fleet.setFrozen(Address, false);
    this->Fleet.faults(Address) = WorkerFaults();
  }
  for (size_t I = 0; I < this->WorkerList.size(); ++I) {
    this->Fleet.model(this->Addresses[I]).setFailEverything(false);
    this->setWorkerDraining(I, false);
  }
  this->LoseNotices = false;
  for (size_t H = 0; H < this->Hosts.size(); ++H) {
    JobsHost &Host = this->Hosts[H];
    if (!Host.Planner)
      this->restartHost(H);
    Host.Exec->setPaused(false);
    Host.Workers->setAllLinksCut(false);
    for (const Endpoint &Address : this->Addresses)
      Host.Workers->setLinkCut(Address, false);
    Host.Store->setDown(false);
    Host.Store->setPartitioned(false);
    Host.Store->setLatency(absl::Milliseconds(1));
    Host.Store->setStaleReads(0);
    Host.Store->failCalls(0);
    Host.Store->loseAnswers(0);
  }
  this->shareWorkers();
  // The other hosts learn of the new planner 2 s later, so that two planners
  // are active meanwhile.
  this->Hosts[Planner].Planner->setActive(true);
  this->Exec.runAfter(absl::Seconds(2), [this, Planner] {
    for (size_t H = 0; H < this->Hosts.size(); ++H)
      this->Hosts[H].Planner->setActive(H == Planner);
  });
}

void JobsSimulation::shareWorkers() {
  for (JobsHost &Host : this->Hosts)
    if (Host.Planner)
      Host.Planner->setWorkers(this->WorkerList);
}

void JobsSimulation::setWorkerDraining(size_t Worker, bool Value) {
  this->Fleet.model(this->Addresses[Worker]).setDraining(Value);
  this->WorkerList[Worker].Draining = Value;
  this->shareWorkers();
}

void JobsSimulation::notify(const JobChange &Notice) {
  for (JobsHost &Host : this->Hosts)
    if (Host.Planner && !this->LoseNotices)
      Host.Exec->post([&Host, Notice] {
        if (Host.Planner)
          Host.Planner->onJobChange(Notice);
      });
}

JobId JobsSimulation::submit(const JobSpec &Spec, const std::string &Key,
                             size_t Host) {
  JobId Id = JobRecord::deriveId(Spec.Account, Key);
  if (!this->Hosts[Host].Jobs)
    return Id;
  this->Hosts[Host].Jobs->submit(
      Spec, Key, [this, Id](const absl::StatusOr<StoredJob> &Result) {
        if (Result.ok())
          this->Accepted.insert(Id);
        else if (isProvablyNotRun(Result.status()))
          this->JobsKnownNotRun.insert(Id);
      });
  return Id;
}

void JobsSimulation::cancel(const JobId &Id, size_t Host) {
  if (this->Hosts[Host].Jobs)
    this->Hosts[Host].Jobs->cancel(Id, [](const auto &) {});
}

std::optional<JobRecord> JobsSimulation::recordOf(const JobId &Id) const {
  auto Value = this->Data->read(JobRecord::keyOf(Id));
  if (!Value)
    return std::nullopt;
  auto Record = JobRecord::decode(Value->Value);
  return Record.ok() ? std::optional(*Record) : std::nullopt;
}

JobState JobsSimulation::stateOf(const JobId &Id) const {
  auto Found = this->recordOf(Id);
  return Found ? Found->State : JobState::Queued;
}

std::vector<ExecutionRecord> JobsSimulation::runsOf(const JobId &Id) const {
  std::vector<ExecutionRecord> Runs = this->Fleet.executions();
  std::erase_if(Runs, [&Id](const ExecutionRecord &Run) {
    return Run.Owner != Id.str();
  });
  return Runs;
}

void JobsSimulation::recordViolation(const std::string &Text) {
  if (this->Violation.empty())
    this->Violation = fmt::format(
        "at {}: {}",
        absl::FormatDuration(this->Exec.now() - absl::FromUnixSeconds(1000000)),
        Text);
}

void JobsSimulation::runFor(absl::Duration Time) {
  for (absl::Duration Left = Time; Left > absl::ZeroDuration();
       Left -= StepTime) {
    this->Exec.advance(std::min(StepTime, Left));
    this->checkInvariants();
  }
}

bool JobsSimulation::runUntilEnded(absl::Duration Limit) {
  auto AllEnded = [this] {
    return std::all_of(
        this->Accepted.begin(), this->Accepted.end(),
        [this](const JobId &Id) { return isTerminal(this->stateOf(Id)); });
  };
  for (absl::Duration Elapsed; Elapsed < Limit; Elapsed += absl::Seconds(1)) {
    if (AllEnded())
      return true;
    this->runFor(absl::Seconds(1));
  }
  return AllEnded();
}

static std::string gangOf(const LeaseId &Lease) {
  return Lease.str().substr(0, Lease.str().rfind('.'));
}

void JobsSimulation::checkInvariants() {
  for (const Endpoint &Address : this->Fleet.addresses()) {
    WorkerStatus Status = this->Fleet.model(Address).status();
    for (const LeaseReport &Lease : Status.Leases) {
      this->SeenLeases.emplace(Lease.Lease, Status.Incarnation);
      if (Lease.Checkpointed)
        this->Checkpointed.emplace(Lease.Lease, this->Exec.now());
    }
  }
  std::vector<ExecutionRecord> All = this->Fleet.executions();
  std::map<std::string, std::vector<const ExecutionRecord *>> Runs;
  for (const ExecutionRecord &Run : All)
    if (Run.Owner.compare(0, JobRecord::IdPrefix.size(), JobRecord::IdPrefix) ==
        0)
      Runs[gangOf(Run.Lease)].push_back(&Run);
  for (const auto &[Gang, Members] : Runs)
    this->checkGang(Gang, Members);
  this->checkAtMostOnce();
  this->checkOutcomes();
}

// Checks that each accepted job has a record, which does not change after its
// outcome was recorded.
void JobsSimulation::checkOutcomes() {
  for (const JobId &Id : this->Accepted) {
    auto Value = this->Data->read(JobRecord::keyOf(Id));
    auto Known = this->Outcomes.find(Id);
    if (!Value)
      this->recordViolation(Id.str() + " was accepted and has no record");
    else if (Known != this->Outcomes.end() && Known->second != Value->Value)
      this->recordViolation(Id.str() +
                            " changed after its outcome was recorded");
    else if (Known == this->Outcomes.end() && isTerminal(this->stateOf(Id)))
      this->Outcomes.emplace(Id, Value->Value);
  }
}

// Checks that a gang starts only after all its leases were held, and that no
// member runs for longer than the lease's time to live after another member was
// lost.
void JobsSimulation::checkGang(
    const std::string &Gang, const std::vector<const ExecutionRecord *> &Runs) {
  GangObservation &Observation = this->Gangs[Gang];
  int Size = Runs.front()->GangSize;
  if (!Observation.Started) {
    Observation.Started = true;
    std::set<LeaseId> Known;
    for (const ExecutionRecord *Run : Runs)
      Known.insert(Run->Lease);
    for (int I = 0; I < Size; ++I)
      if (LeaseId Lease(fmt::format("{}.{}", Gang, I));
          !Known.contains(Lease) && !this->SeenLeases.contains(Lease))
        this->recordViolation(fmt::format(
            "gang {} started although no lease of member {} was held", Gang,
            I));
  }
  absl::Time FirstLost = absl::InfiniteFuture();
  for (const ExecutionRecord *Run : Runs)
    if (Run->State != LeaseState::Running && Run->State != LeaseState::Finished)
      FirstLost = std::min(FirstLost, Run->Ended);
  // A member that has not started is lost if no worker holds its lease.
  for (int I = 0; I < Size; ++I) {
    LeaseId Lease(fmt::format("{}.{}", Gang, I));
    bool HasRun = std::any_of(
        Runs.begin(), Runs.end(),
        [&Lease](const ExecutionRecord *R) { return R->Lease == Lease; });
    bool IsHeld = false;
    for (const Endpoint &Address : this->Fleet.addresses())
      IsHeld = IsHeld || this->Fleet.model(Address).query(Lease).State ==
                             LeaseState::Held;
    if (!HasRun && !IsHeld)
      FirstLost = std::min(FirstLost, this->Exec.now());
  }
  Observation.LostSince = std::min(Observation.LostSince, FirstLost);
  absl::Duration Overrun = this->Exec.now() - Observation.LostSince;
  for (const ExecutionRecord *Run : Runs)
    if (Run->State == LeaseState::Running && Overrun > LeaseTtl + StepTime)
      this->recordViolation(
          fmt::format("{} still runs {} after another member was lost",
                      Run->Lease.str(), absl::FormatDuration(Overrun)));
}

// Checks that each member of a job that is not repeatable starts once, and that
// no job runs whose caller was told that it does not run. A member may start
// again if its earlier run was checkpointed: a job that was reclaimed with a
// checkpoint of every running member continues under new leases.
void JobsSimulation::checkAtMostOnce() {
  std::map<std::pair<std::string, int>, const ExecutionRecord *> Last;
  std::vector<ExecutionRecord> All = this->Fleet.executions();
  std::sort(All.begin(), All.end(),
            [](const ExecutionRecord &A, const ExecutionRecord &B) {
              return A.Started < B.Started;
            });
  for (const ExecutionRecord &Run : All) {
    auto Record = this->recordOf(JobId(Run.Owner));
    if (this->JobsKnownNotRun.contains(JobId(Run.Owner)))
      this->recordViolation(Run.Owner +
                            " ran although its submission was answered with an "
                            "error that means that it does not run");
    if (!Record || Record->Spec.Repeatable)
      continue;
    const ExecutionRecord *&Before = Last[{Run.Owner, Run.Member}];
    if (Before && !this->Checkpointed.contains(Before->Lease))
      this->recordViolation(
          fmt::format("member {} of {} started twice without a checkpoint",
                      Run.Member, Run.Owner));
    Before = &Run;
  }
}

} // namespace vanillayard
