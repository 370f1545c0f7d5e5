#include "daemon/WorkerMonitor.h"

#include "endpoint/WorkerClient.h"
#include "store/HostDirectory.h"

#include <algorithm>
#include <set>

namespace vanillayard {

/// Interval of the check for due polls, and so the resolution of their times.
static constexpr absl::Duration TickInterval = absl::Milliseconds(100);

struct WorkerMonitor::Worker {
  WorkerView View;
  std::unique_ptr<WorkerStatus> Status;
  absl::Time NextPoll = absl::InfinitePast();
  bool PollInFlight = false;
  bool ListedLeaving = false;
  bool OperatorDraining = false;
  bool StatusDraining = false;
  int MissedPolls = 0;
  int AnsweredPolls = 0;
  int MissingFromLists = 0;
  /// Changes are reported only once the number of slots is known.
  bool AreSlotsKnown = false;
};

WorkerMonitor::WorkerMonitor(const Builder &Options)
    : Exec(*Options.Exec), Client(*Options.Client),
      DataCentre(Options.DataCentre.str()), MinInterval(Options.MinInterval),
      BytesPerSecond(Options.BytesPerSecond), Owns(Options.Owns),
      OnChange(Options.OnChange), OnRemove(Options.OnRemove) {
  this->Timer =
      this->Exec.runAfter(TickInterval, [this] { this->pollDueWorkers(); });
}

WorkerMonitor::~WorkerMonitor() {
  this->Exec.cancel(this->Timer);
}

void WorkerMonitor::applyHostList(const HostList &List) {
  if (List.Generated < this->LastListGenerated)
    return;
  this->LastListGenerated = List.Generated;
  for (const ListedHost &Listed : List.Hosts)
    if (Listed.Role == HostRole::Worker &&
        Listed.DataCentre.str() == this->DataCentre)
      this->applyListed(Listed);
  this->removeUnlisted(List);
}

void WorkerMonitor::applyListed(const ListedHost &Listed) {
  WorkerId Id(Listed.Name);
  std::unique_ptr<Worker> &Tracked = this->Workers[Id];
  if (!Tracked) {
    Tracked = std::make_unique<Worker>();
    Tracked->View.Worker = Id;
  }
  bool IsMoved = Tracked->View.Address != Listed.Address;
  Tracked->View.Address = Listed.Address;
  Tracked->View.Rack = Listed.Rack;
  Tracked->MissingFromLists = 0;
  if (IsMoved)
    Tracked->NextPoll = absl::InfinitePast();
  Tracked->ListedLeaving = Listed.State == HostState::Leaving;
  this->updateView(*Tracked);
}

void WorkerMonitor::removeUnlisted(const HostList &List) {
  std::set<std::string> Names;
  for (const ListedHost &Listed : List.Hosts)
    if (Listed.Role == HostRole::Worker)
      Names.insert(Listed.Name);
  for (auto It = this->Workers.begin(); It != this->Workers.end();) {
    Worker &Known = *It->second;
    bool IsListed = Names.count(It->first.str()) > 0;
    if (!IsListed && ++Known.MissingFromLists >= RemovedAfterLists) {
      if (this->OnRemove)
        this->OnRemove(It->first);
      It = this->Workers.erase(It);
      continue;
    }
    ++It;
  }
}

void WorkerMonitor::applyPeerView(const WorkerView &View) {
  auto Found = this->Workers.find(View.Worker);
  if (View.Withdrawn || (this->Owns && this->Owns(View.Worker)))
    return;
  std::unique_ptr<Worker> &Tracked =
      Found == this->Workers.end() ? this->Workers[View.Worker] : Found->second;
  if (!Tracked)
    Tracked = std::make_unique<Worker>();
  Tracked->StatusDraining = View.Draining;
  Tracked->MissedPolls = View.Ejected ? UnreachableAfterPolls : 0;
  Tracked->AreSlotsKnown = View.TotalSlots > 0;
  WorkerView &StoredView = Tracked->View;
  StoredView.Worker = View.Worker;
  StoredView.Address = View.Address;
  StoredView.Rack = View.Rack;
  StoredView.FreeSlots = View.FreeSlots;
  StoredView.TotalSlots = View.TotalSlots;
  StoredView.Accelerators = View.Accelerators;
  StoredView.Ejected = View.Ejected;
  this->updateView(*Tracked);
}

bool WorkerMonitor::setDraining(const WorkerId &Worker, bool IsDraining) {
  auto Found = this->Workers.find(Worker);
  if (Found == this->Workers.end())
    return false;
  Found->second->OperatorDraining = IsDraining;
  this->updateView(*Found->second);
  return true;
}

void WorkerMonitor::updateView(Worker &Target) {
  WorkerView &View = Target.View;
  View.Draining =
      Target.ListedLeaving || Target.OperatorDraining || Target.StatusDraining;
  ++View.Version;
  if (Target.AreSlotsKnown && this->OnChange)
    this->OnChange(View);
}

size_t WorkerMonitor::ownedCount() const {
  if (!this->Owns)
    return this->Workers.size();
  return static_cast<size_t>(std::count_if(
      this->Workers.begin(), this->Workers.end(),
      [this](const auto &Entry) { return this->Owns(Entry.first); }));
}

absl::Duration WorkerMonitor::pollInterval() const {
  double Seconds = static_cast<double>(this->ownedCount()) * BytesPerPoll /
                   static_cast<double>(this->BytesPerSecond);
  return std::max(this->MinInterval, absl::Seconds(Seconds));
}

void WorkerMonitor::pollDueWorkers() {
  absl::Time Now = this->Exec.now();
  absl::Duration Interval = this->pollInterval();
  for (auto &[Id, Target] : this->Workers) {
    if (Target->PollInFlight || Target->NextPoll > Now ||
        Target->View.Address.empty() || (this->Owns && !this->Owns(Id)))
      continue;
    Target->NextPoll = Now + Interval;
    this->poll(*Target);
  }
  this->Timer =
      this->Exec.runAfter(TickInterval, [this] { this->pollDueWorkers(); });
}

void WorkerMonitor::poll(Worker &Target) {
  Target.PollInFlight = true;
  this->Client.status(
      Target.View.Address,
      [this, Id = Target.View.Worker, Guard = std::weak_ptr<bool>(this->Alive)](
          absl::StatusOr<WorkerStatus> Status) {
        if (!Guard.expired())
          this->onPollReply(Id, std::move(Status));
      });
}

void WorkerMonitor::onPollReply(const WorkerId &Id,
                                absl::StatusOr<WorkerStatus> Status) {
  auto Found = this->Workers.find(Id);
  if (Found == this->Workers.end())
    return;
  Worker &Target = *Found->second;
  Target.PollInFlight = false;
  // Another worker may now answer at this address; that does not show that
  // this one is alive.
  bool Answered = Status.ok() && Status->Worker == Id;
  this->recordPoll(Target, Answered);
  if (Answered) {
    WorkerView &View = Target.View;
    View.FreeSlots = Status->FreeSlots;
    View.TotalSlots = Status->Slots;
    View.Accelerators = Status->Accelerators;
    if (!Status->Rack.empty())
      View.Rack = Status->Rack;
    Target.StatusDraining = Status->Draining;
    Target.AreSlotsKnown = true;
    Target.Status = std::make_unique<WorkerStatus>(std::move(*Status));
  }
  this->updateView(Target);
}

void WorkerMonitor::recordPoll(Worker &Target, bool Answered) {
  if (!Answered) {
    Target.AnsweredPolls = 0;
    if (++Target.MissedPolls >= UnreachableAfterPolls)
      Target.View.Ejected = true;
    return;
  }
  ++Target.AnsweredPolls;
  if (Target.View.Ejected && Target.AnsweredPolls < ReachableAfterPolls)
    return;
  Target.MissedPolls = 0;
  Target.View.Ejected = false;
}

std::vector<WorkerView> WorkerMonitor::ownedViews() const {
  std::vector<WorkerView> Views;
  for (const auto &[Id, Known] : this->Workers)
    if (Known->AreSlotsKnown && (!this->Owns || this->Owns(Id)))
      Views.push_back(Known->View);
  return Views;
}

std::vector<WorkerView> WorkerMonitor::allViews() const {
  std::vector<WorkerView> Views;
  for (const auto &Entry : this->Workers)
    Views.push_back(Entry.second->View);
  return Views;
}

const WorkerStatus *WorkerMonitor::lastStatus(const WorkerId &Worker) const {
  auto Found = this->Workers.find(Worker);
  return Found == this->Workers.end() ? nullptr : Found->second->Status.get();
}

size_t WorkerMonitor::unreachableCount() const {
  return static_cast<size_t>(std::count_if(
      this->Workers.begin(), this->Workers.end(),
      [](const auto &Entry) { return Entry.second->View.Ejected; }));
}

WorkerMonitor::Builder &WorkerMonitor::Builder::dataCentre(DataCentreId Value) {
  this->DataCentre = std::move(Value);
  return *this;
}

WorkerMonitor::Builder &
WorkerMonitor::Builder::minInterval(absl::Duration Value) {
  this->MinInterval = Value;
  return *this;
}

WorkerMonitor::Builder &WorkerMonitor::Builder::bytesPerSecond(int64_t Value) {
  this->BytesPerSecond = Value;
  return *this;
}

WorkerMonitor::Builder &WorkerMonitor::Builder::owns(OwnsWorker Value) {
  this->Owns = std::move(Value);
  return *this;
}

WorkerMonitor::Builder &WorkerMonitor::Builder::onChange(ChangeListener Value) {
  this->OnChange = std::move(Value);
  return *this;
}

WorkerMonitor::Builder &WorkerMonitor::Builder::onRemove(RemoveListener Value) {
  this->OnRemove = std::move(Value);
  return *this;
}

absl::StatusOr<std::unique_ptr<WorkerMonitor>>
WorkerMonitor::Builder::build() const {
  if (this->DataCentre.empty())
    return absl::InvalidArgumentError("a worker monitor needs a data centre");
  return std::unique_ptr<WorkerMonitor>(new WorkerMonitor(*this));
}

} // namespace vanillayard
