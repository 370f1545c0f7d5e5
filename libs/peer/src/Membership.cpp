#include "peer/Membership.h"

#include "MembershipImpl.h"
#include "base/Rendezvous.h"

#include <algorithm>
#include <map>
#include <utility>

namespace vanillayard {

using Builder = Membership::Builder;

Builder::Builder(Executor &Exec, PeerTransport &Transport,
                 HybridLogicalClock &Clock)
    : Exec(Exec), Transport(Transport), Clock(Clock) {}

Builder &Builder::host(HostId Value) {
  this->Host = std::move(Value);
  return *this;
}

Builder &Builder::dataCentre(DataCentreId Value) {
  this->DataCentre = std::move(Value);
  return *this;
}

Builder &Builder::address(Endpoint Value) {
  this->Address = std::move(Value);
  return *this;
}

Builder &Builder::incarnation(int64_t Value) {
  this->Incarnation = Value;
  return *this;
}

Builder &Builder::seeds(std::vector<Endpoint> Value) {
  this->Seeds = std::move(Value);
  return *this;
}

Builder &Builder::directory(HostDirectory *Value) {
  this->Directory = Value;
  return *this;
}

Builder &Builder::directoryInterval(absl::Duration Value) {
  this->DirectoryInterval = Value;
  return *this;
}

Builder &Builder::heartbeatInterval(absl::Duration Value) {
  this->HeartbeatInterval = Value;
  return *this;
}

Builder &Builder::relayThreshold(int Value) {
  this->RelayThreshold = Value;
  return *this;
}

Builder &Builder::log(Log *Value) {
  this->Output = Value;
  return *this;
}

Builder &Builder::metrics(Metrics *Value) {
  this->Registry = Value;
  return *this;
}

absl::StatusOr<std::unique_ptr<Membership>> Builder::build() {
  if (this->Host.empty() || this->DataCentre.empty() || this->Address.empty())
    return absl::InvalidArgumentError(
        "host, data centre and address are required");
  if (this->HeartbeatInterval <= absl::ZeroDuration() ||
      this->HeartbeatInterval >= HostTimeouts().Suspect ||
      this->DirectoryInterval <= absl::ZeroDuration() || this->Incarnation < 0)
    return absl::InvalidArgumentError(
        "the intervals must be positive, the heartbeat interval below the "
        "suspect timeout and the incarnation not negative");
  return std::unique_ptr<Membership>(
      new Membership(std::make_unique<Impl>(*this)));
}

Membership::Membership(std::unique_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}

Membership::~Membership() = default;

void Membership::start() {
  this->Implementation->start();
}

void Membership::leave() {
  this->Implementation->leave();
}

void Membership::addListener(MembershipListener *Listener) {
  this->Implementation->Listeners.push_back(Listener);
}

void Membership::removeListener(MembershipListener *Listener) {
  std::erase(this->Implementation->Listeners, Listener);
}

void Membership::setGeneration(int64_t Generation) {
  this->Implementation->setGeneration(Generation);
}

void Membership::setLoad(const LoadSummary &Load) {
  this->Implementation->Load = Load;
}

void Membership::publishWorker(WorkerView View) {
  this->Implementation->Views.publish(std::move(View));
}

void Membership::withdrawWorker(const WorkerId &Worker) {
  this->Implementation->Views.withdraw(Worker);
}

void Membership::setWarnings(std::vector<std::string> Names) {
  this->Implementation->Warnings = std::move(Names);
}

const HostId &Membership::self() const {
  return this->Implementation->Self;
}

int64_t Membership::incarnation() const {
  return this->Implementation->Incarnation;
}

bool Membership::isLeaving() const {
  return this->Implementation->IsLeaving;
}

std::vector<PeerHost> Membership::hosts() const {
  std::vector<PeerHost> Hosts;
  for (const PeerHost *Host : this->Implementation->Hosts.all())
    Hosts.push_back(*Host);
  return Hosts;
}

std::optional<PeerHost> Membership::find(const HostId &Host) const {
  const PeerHost *Found = std::as_const(this->Implementation->Hosts).find(Host);
  return Found ? std::optional<PeerHost>(*Found) : std::nullopt;
}

std::vector<HostId>
Membership::liveHosts(const DataCentreId &DataCentre) const {
  return this->Implementation->liveHosts(DataCentre);
}

std::vector<DataCentreId> Membership::dataCentres() const {
  std::set<DataCentreId> Names = this->Implementation->Hosts.dataCentres();
  Names.insert(this->Implementation->DataCentre);
  return {Names.begin(), Names.end()};
}

bool Membership::isPlanner() const {
  return this->Implementation->isPlanner();
}

std::optional<HostId>
Membership::planner(const DataCentreId &DataCentre) const {
  return this->Implementation->planner(DataCentre);
}

std::optional<HostId> Membership::pollingHost(const WorkerId &Worker) const {
  const Impl &I = *this->Implementation;
  std::vector<HostId> Live = I.liveHosts(I.DataCentre);
  int Index = rendezvousWinner<HostId>("poll/" + Worker.str(), Live);
  if (Index < 0)
    return std::nullopt;
  return Live[static_cast<size_t>(Index)];
}

bool Membership::isPollingHost(const WorkerId &Worker) const {
  return this->pollingHost(Worker) == this->self();
}

std::optional<HostId>
Membership::chooseForwardTarget(const DataCentreId &DataCentre,
                                const std::set<HostId> &Tried) const {
  const Impl &I = *this->Implementation;
  std::vector<HostId> Targets = I.forwardTargets(DataCentre, Tried);
  auto QueueOf = [&](const HostId &Host) {
    const LoadSummary &Load = std::as_const(I.Hosts).find(Host)->Load;
    return Load.QueuedUrgent + Load.QueuedNormal + Load.QueuedDeferrable;
  };
  auto Best = std::min_element(Targets.begin(), Targets.end(),
                               [&](const HostId &A, const HostId &B) {
                                 return QueueOf(A) < QueueOf(B);
                               });
  return Best == Targets.end() ? std::nullopt : std::optional<HostId>(*Best);
}

LoadSummary Membership::loadOf(const DataCentreId &DataCentre) const {
  return this->Implementation->loadOf(DataCentre);
}

std::vector<WorkerView> Membership::workers() const {
  const Impl &I = *this->Implementation;
  // Views of one worker, by increasing weight: from an unusable host, from a
  // usable host that polled the worker before, from the current polling host.
  std::map<WorkerId, std::pair<int, WorkerView>> Best;
  auto Add = [&](const HostId &From, bool IsUsable, const WorkerView &View) {
    if (View.Withdrawn)
      return;
    int Weight = IsUsable + (this->pollingHost(View.Worker) == From ? 2 : 0);
    auto [Place, IsNew] =
        Best.try_emplace(View.Worker, std::pair(Weight, View));
    if (!IsNew && Weight > Place->second.first)
      Place->second = {Weight, View};
  };
  for (const auto &[Worker, View] : I.Views.ownViews())
    Add(I.Self, true, View);
  for (const PeerHost *Host : I.Hosts.all())
    if (const auto *Views = I.Views.viewsOf(Host->Host))
      for (const auto &[Worker, View] : *Views)
        Add(Host->Host, Host->isUsable(), View);
  std::vector<WorkerView> Workers;
  Workers.reserve(Best.size());
  for (auto &[Worker, Entry] : Best)
    Workers.push_back(std::move(Entry.second));
  return Workers;
}

int Membership::rank() const {
  const Impl &I = *this->Implementation;
  uint64_t Own = rendezvousWeight("rank", I.Self.str());
  auto Hosts = I.Hosts.all();
  return static_cast<int>(
      std::count_if(Hosts.begin(), Hosts.end(), [&](const PeerHost *Host) {
        return Host->isUsable() &&
               rendezvousWeight("rank", Host->Host.str()) > Own;
      }));
}

bool Membership::isRelaying() const {
  return this->Implementation->IsRelaying;
}

const PeerTraffic &Membership::traffic() const {
  return this->Implementation->Traffic;
}

absl::Status Membership::send(const HostId &To, PeerMessage Message) {
  return this->Implementation->send(To, std::move(Message), 0);
}

void Membership::request(const HostId &To, PeerMessage Message,
                         absl::Duration Timeout, ReplyCallback Done) {
  this->Implementation->request(To, std::move(Message), Timeout,
                                std::move(Done));
}

absl::Status Membership::reply(const Envelope &Request, PeerMessage Message) {
  return this->Implementation->send(Request.Sender, std::move(Message),
                                    Request.Correlation);
}

} // namespace vanillayard
