#include "DaemonImpl.h"

#include "jobs/PlannerWorker.h"
#include "peer/PeerHost.h"
#include "requests/WorkerCapacity.h"
#include "store/HostDirectory.h"
#include "wire/LoadSummary.h"

namespace vanillayard {

/// Interval of the periodic work in tick().
static constexpr absl::Duration TickInterval = absl::Milliseconds(250);
/// Time from the start of a shutdown, when /healthz begins to answer 503, to
/// the closing of the callers' listener, so that the load balancer can stop
/// sending requests to this host first.
static constexpr absl::Duration StopAcceptingDelay = absl::Seconds(1);
/// Time since the last successful read of the host list after which it is
/// stale.
static constexpr absl::Duration HostListStaleAfter = absl::Minutes(2);

bool Daemon::Impl::isReady() const {
  return this->ConfigInForce != nullptr && !this->IsLeaving;
}

void Daemon::Impl::configurationChanged() {
  this->ConfigInForce = this->Config->current();
  this->Requests->setConfiguration(*this->ConfigInForce);
  this->RequestHandler->setConfiguration(this->ConfigInForce);
  this->Planner->setConfiguration(this->ConfigInForce);
  this->Peers->setGeneration(this->ConfigInForce->Generation);
  this->Warnings.clear({WarningCondition::NoConfiguration, ""});
  std::string Generation = std::to_string(this->ConfigInForce->Generation);
  this->Events.record("configuration in force", "configuration", Generation,
                      TimelinePhase::Instant,
                      {{"preset", this->ConfigInForce->PresetInForce.str()}});
  this->Output.info("configuration", "in force",
                    {{"generation", this->ConfigInForce->Generation},
                     {"preset", this->ConfigInForce->PresetInForce}});
}

void Daemon::Impl::workerChanged(const WorkerView &View) {
  WorkerCapacity Capacity;
  Capacity.Id = View.Worker;
  Capacity.Address = View.Address;
  Capacity.Slots = View.TotalSlots;
  Capacity.FreeSlots = View.FreeSlots;
  const WorkerStatus *Status = this->Monitor->lastStatus(View.Worker);
  // The view of a worker that another host polls does not contain the number
  // of connections; the number of slots then limits the concurrency.
  Capacity.Connections = Status ? Status->Connections : View.TotalSlots;
  Capacity.Draining = View.Draining;
  Capacity.Ejected = View.Ejected;
  this->Requests->updateWorker(Capacity);
  if (this->Peers->isPollingHost(View.Worker)) {
    this->PublishedWorkers.insert(View.Worker);
    this->Peers->publishWorker(View);
  }
  this->PlannerWorkersChanged = true;
}

void Daemon::Impl::stopPublishing(const WorkerId &Id) {
  this->Peers->withdrawWorker(Id);
  // The host that now polls the worker raises this warning if it applies.
  this->Warnings.clear({WarningCondition::WorkerUnreachable, Id.str()});
}

void Daemon::Impl::plannerRoleChanged(bool IsPlanner) {
  this->Events.record(IsPlanner ? "planner role taken"
                                : "planner role given up",
                      "membership", this->Options.DataCentre.str());
  this->Output.info("membership", "planner role changed",
                    {{"is_planner", IsPlanner}});
  this->updatePlannerWorkers();
  this->Planner->setActive(IsPlanner && !this->IsLeaving);
}

void Daemon::Impl::recordJobEvent(std::string_view Name, const JobRecord &Job) {
  this->Events.record(
      std::string(Name), "jobs", Job.Id.str(), TimelinePhase::Instant,
      {{"account", Job.Spec.Account.str()},
       {"accelerators", std::to_string(Job.Spec.Shape.accelerators())}});
  this->Output.info("jobs", Name,
                    {{"job", Job.Id}, {"account", Job.Spec.Account}});
}

void Daemon::Impl::updatePlannerWorkers() {
  std::vector<PlannerWorker> List;
  for (const WorkerView &View : this->Monitor->allViews()) {
    if (View.TotalSlots == 0)
      continue;
    PlannerWorker Worker;
    Worker.Id = View.Worker;
    Worker.Rack = View.Rack;
    Worker.Address = View.Address;
    Worker.Accelerators = View.Accelerators;
    Worker.Slots = View.TotalSlots;
    Worker.Draining = View.Draining;
    Worker.Ejected = View.Ejected;
    List.push_back(std::move(Worker));
  }
  this->Planner->setWorkers(List);
  this->PlannerWorkersChanged = false;
}

void Daemon::Impl::tick() {
  if (this->Loop.now() >= this->NextHostListFetch && !this->HostListInFlight)
    this->fetchHostList();
  std::erase_if(this->PublishedWorkers, [this](const WorkerId &Id) {
    if (this->Peers->isPollingHost(Id))
      return false;
    this->stopPublishing(Id);
    return true;
  });
  if (this->PlannerWorkersChanged)
    this->updatePlannerWorkers();
  this->Forwarder->refreshLoads();
  this->reportLoad();
  this->updateSlotShare();
  this->checkWarnings();
  this->Output.flushSuppressed();
  if (this->IsLeaving)
    this->finishShutdown();
  this->TickTimer = this->Loop.runAfter(TickInterval, [this] { this->tick(); });
}

void Daemon::Impl::fetchHostList() {
  this->HostListInFlight = true;
  this->Directory.fetch([this](const absl::StatusOr<HostList> &List) {
    this->HostListInFlight = false;
    this->NextHostListFetch = this->Loop.now() + this->Options.HostListInterval;
    if (!List.ok())
      return;
    this->HostListFetchTime = this->Loop.now();
    this->Monitor->applyHostList(*List);
  });
}

void Daemon::Impl::reportLoad() {
  LoadSummary Load;
  Load.QueuedNormal = static_cast<int64_t>(this->Requests->queuedCount());
  Load.QueueDelay = this->Requests->queueDelay();
  for (const WorkerView &View : this->Monitor->ownedViews()) {
    if (View.Draining || View.Ejected)
      continue;
    Load.FreeSlots += View.FreeSlots;
    Load.TotalSlots += View.TotalSlots;
  }
  this->Peers->setLoad(Load);
}

void Daemon::Impl::updateSlotShare() {
  SlotShare::Sample Sample;
  for (const PeerHost &Peer : this->Peers->hosts()) {
    if (Peer.DataCentre != this->Options.DataCentre || !Peer.isUsable())
      continue;
    ++Sample.Hosts;
    Sample.OtherHostsWithBacklog += Peer.Load.QueuedNormal > 0;
  }
  int Slots = 0;
  int Free = 0;
  for (const WorkerView &View : this->Monitor->allViews()) {
    if (View.Draining || View.Ejected)
      continue;
    Slots += View.TotalSlots;
    Free += View.FreeSlots;
  }
  Sample.FreeShare = Slots > 0 ? static_cast<double>(Free) / Slots : 0;
  Sample.UrgentReserve = this->ConfigInForce
                             ? this->ConfigInForce->activePreset().UrgentReserve
                             : 0;
  Sample.IsBinding = this->Requests->isShareBinding();
  this->Requests->setSlotShare(this->Share.update(Sample, this->Loop.now()));
}

void Daemon::Impl::checkWarnings() {
  this->Warnings.setRank(this->Peers->rank());
  auto Set = [this](WarningCondition Condition, bool Holds,
                    const std::string &Detail,
                    const std::string &Subject = "") {
    WarningKey Key{Condition, Subject};
    if (Holds)
      this->Warnings.raise(Key, Detail);
    else
      this->Warnings.clear(Key);
  };
  Set(WarningCondition::NoConfiguration, !this->ConfigInForce,
      "this host has no configuration and refuses requests");
  Set(WarningCondition::StoreUnavailable, !this->Config->isStoreReachable(),
      "the platform's key-value service does not answer");
  Set(WarningCondition::HostListStale,
      this->Loop.now() - this->HostListFetchTime > HostListStaleAfter,
      "the platform's host list cannot be read");
  size_t Excluded = this->Monitor->unreachableCount();
  size_t All = this->Monitor->allViews().size();
  Set(WarningCondition::ManyWorkersExcluded, Excluded * 3 > All,
      std::to_string(Excluded) + " of " + std::to_string(All) +
          " workers do not answer");
  for (const WorkerView &View : this->Monitor->ownedViews())
    Set(WarningCondition::WorkerUnreachable, View.Ejected,
        "the worker does not answer polls", View.Worker.str());
  int Unmet = this->Planner->report().UnmetAccelerators;
  Set(WarningCondition::GuaranteeUnmet, Unmet > 0,
      std::to_string(Unmet) + " guaranteed accelerators cannot be provided",
      this->Options.DataCentre.str());
  std::vector<std::string> Names;
  for (const WarningKey &Key : this->Warnings.announcedKeys()) {
    std::string Name(warningRuleFor(Key.Condition).Name);
    Names.push_back(Key.Subject.empty() ? Name : Name + "/" + Key.Subject);
  }
  this->Peers->setWarnings(std::move(Names));
}

void Daemon::Impl::shutDown(std::function<void()> Done) {
  this->ShutdownCallbacks.push_back(std::move(Done));
  if (std::exchange(this->IsLeaving, true))
    return;
  this->ShutdownDeadline = this->Loop.now() + this->Options.ShutdownGrace;
  this->Output.info("daemon", "graceful shutdown begins");
  this->Events.record("leaving", "daemon", this->Options.Host.str());
  this->Peers->leave();
  this->Planner->setActive(false);
  this->Loop.runAfter(StopAcceptingDelay, [this] {
    this->CallerServer->stopAccepting();
    this->JobHandler->answerWaitingCalls();
    this->Requests->shutdown([this] { this->RequestsIdle = true; });
  });
}

void Daemon::Impl::finishShutdown() {
  bool IsIdle =
      this->RequestsIdle && this->CallerServer->requestsInProgress() == 0;
  bool IsLate = this->Loop.now() >= this->ShutdownDeadline;
  if (!IsIdle && !IsLate)
    return;
  if (this->ShutdownCallbacks.empty())
    return;
  this->Output.info(
      "daemon", "graceful shutdown ends",
      {{"idle", IsIdle}, {"requests_left", this->Requests->unfinishedCount()}});
  for (const auto &Done : std::exchange(this->ShutdownCallbacks, {}))
    Done();
}

} // namespace vanillayard
