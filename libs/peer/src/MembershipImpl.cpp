#include "MembershipImpl.h"

#include "base/ErrorKind.h"
#include "base/Rendezvous.h"
#include "observe/HybridLogicalClock.h"
#include "observe/Log.h"
#include "observe/Metrics.h"
#include "peer/PeerTransport.h"
#include "store/HostDirectory.h"
#include "wire/WireCodec.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

static constexpr absl::Duration TickInterval = absl::Milliseconds(250);
/// This process was paused if the time between two ticks reaches this limit.
static constexpr absl::Duration PauseLimit = absl::Seconds(2);
/// After a pause of this length another host may have become the planner: the
/// other host waits for 6 s after this host's last heartbeat, which this host
/// may have sent 1 s before the pause.
static constexpr absl::Duration RoleLossPause = absl::Seconds(5);
/// Time until the next read of the platform's host list after a failed one.
static constexpr absl::Duration DirectoryRetryInterval = absl::Seconds(2);
/// Relaying ends this many hosts below the threshold above which it begins, so
/// that the loss of one host does not turn it off.
static constexpr int RelayHysteresis = 3;

Membership::Impl::Impl(const Builder &Options)
    : Exec(Options.Exec), Transport(Options.Transport), Clock(Options.Clock),
      Self(Options.Host), DataCentre(Options.DataCentre),
      Address(Options.Address),
      Incarnation(Options.Incarnation > 0
                      ? Options.Incarnation
                      : absl::ToUnixMicros(Options.Exec.now())),
      Hosts(Options.Host, HostTimeouts()), Directory(Options.Directory),
      Output(Options.Output), HeartbeatInterval(Options.HeartbeatInterval),
      DirectoryInterval(Options.DirectoryInterval),
      RelayThreshold(Options.RelayThreshold), Election(Options.DataCentre),
      Addresses(Options.Address, Options.Seeds),
      Requests(Options.Exec, this->Incarnation), LastTick(Options.Exec.now()) {
  if (!Options.Registry)
    return;
  for (bool IsHeartbeat : {false, true})
    for (bool IsSent : {false, true})
      this->ByteCounters[IsHeartbeat][IsSent] = &Options.Registry->counter(
          "vanillayard_peer_bytes_total", "Bytes of messages between hosts.",
          {{"type", IsHeartbeat ? "heartbeat" : "other"},
           {"direction", IsSent ? "sent" : "received"}});
}

Membership::Impl::~Impl() {
  this->Exec.cancel(this->TickTimer);
  this->Exec.cancel(this->DirectoryTimer);
  this->Transport.onReceive(nullptr);
}

void Membership::Impl::start() {
  this->LastTick = this->Exec.now();
  this->Transport.onReceive([this](const Endpoint &From, std::string Bytes) {
    this->received(From, Bytes);
  });
  this->pollDirectory();
  this->tick();
}

void Membership::Impl::leave() {
  if (std::exchange(this->IsLeaving, true))
    return;
  for (const PeerHost *Host : this->Hosts.all())
    if (Host->State != PeerState::Dead)
      (void)this->send(Host->Host, Leaving(), 0);
  this->updateStates();
  this->sendHeartbeatsSoon();
}

void Membership::Impl::setGeneration(int64_t Value) {
  if (Value <= this->Generation)
    return;
  this->Generation = Value;
  this->sendHeartbeatsSoon();
}

void Membership::Impl::scheduleTick(absl::Duration Delay) {
  this->Exec.cancel(this->TickTimer);
  this->TickTimer = this->Exec.runAfter(Delay, [this] { this->tick(); });
}

void Membership::Impl::tick() {
  absl::Time Now = this->Exec.now();
  this->updateStates();
  if (Now >= this->NextHeartbeat) {
    this->NextHeartbeat = Now + this->HeartbeatInterval;
    this->LastHeartbeat = Now;
    this->sendHeartbeats();
  }
  this->scheduleTick(std::min(TickInterval, this->NextHeartbeat - Now));
}

void Membership::Impl::detectPause(absl::Time Now) {
  absl::Duration Pause = Now - std::exchange(this->LastTick, Now);
  if (Pause < PauseLimit)
    return;
  this->Hosts.excludePause(Pause, Now);
  if (Pause >= RoleLossPause)
    this->Election.reset();
  if (this->Output)
    this->Output->info("peer", "this process was paused", {{"for", Pause}});
}

template <typename Call> void Membership::Impl::notifyListeners(Call Notify) {
  // A listener may add or remove listeners.
  std::vector<MembershipListener *> Current = this->Listeners;
  for (MembershipListener *Listener : Current)
    if (std::find(this->Listeners.begin(), this->Listeners.end(), Listener) !=
        this->Listeners.end())
      Notify(*Listener);
}

void Membership::Impl::updateRelaying() {
  int Count = static_cast<int>(this->Hosts.usableCount()) + 1;
  if (Count > this->RelayThreshold)
    this->IsRelaying = true;
  else if (Count <= this->RelayThreshold - RelayHysteresis)
    this->IsRelaying = false;
}

void Membership::Impl::updateStates() {
  absl::Time Now = this->Exec.now();
  this->detectPause(Now);
  std::vector<HostId> Changed = this->Hosts.update(Now);
  this->updateRelaying();
  bool HasPlannerLeft = false;
  if (const auto &Planner = this->Election.planner()) {
    const PeerHost *Host = this->Hosts.find(*Planner);
    HasPlannerLeft = *Planner == this->Self
                         ? this->IsLeaving
                         : Host && Host->State == PeerState::Leaving;
  }
  this->Election.update(this->liveHosts(this->DataCentre), HasPlannerLeft, Now);
  for (const HostId &Host : Changed)
    this->hostChanged(Host);
  bool IsPlanner = this->isPlanner();
  if (std::exchange(this->WasPlanner, IsPlanner) == IsPlanner)
    return;
  if (this->Output)
    this->Output->info("peer", "planner role changed",
                       {{"is_planner", IsPlanner}});
  this->notifyListeners(
      [&](MembershipListener &L) { L.plannerChanged(IsPlanner); });
}

void Membership::Impl::hostChanged(const HostId &Host) {
  const PeerHost *Found = this->Hosts.find(Host);
  if (!Found)
    return;
  PeerHost Changed = *Found;
  if (this->Output)
    this->Output->info("peer", "peer host changed",
                       {{"host", Host},
                        {"state", PeerStateNames.nameOf(Changed.State)},
                        {"data_centre", Changed.DataCentre},
                        {"address", Changed.Address},
                        {"incarnation", Changed.Incarnation}});
  if (Changed.State == PeerState::Dead) {
    this->Requests.failAll(Host);
    this->Digests.forget(Host);
    if (this->PeerWarnings.erase(Host) > 0)
      this->notifyListeners([&](auto &L) { L.warningsChanged(Host, {}); });
  }
  this->notifyListeners([&](MembershipListener &L) { L.hostChanged(Changed); });
}

void Membership::Impl::hostStarted(const HostId &Host) {
  this->Requests.failAll(Host);
  this->Digests.forget(Host);
  this->Views.restarted(Host);
}

void Membership::Impl::received(const Endpoint &From,
                                const std::string &Bytes) {
  absl::StatusOr<Envelope> Message = WireCodec::decode(Bytes);
  const auto *Beat =
      Message.ok() ? std::get_if<Heartbeat>(&Message->Message) : nullptr;
  this->countBytes(Beat != nullptr, false, Bytes.size());
  if (!Message.ok()) {
    ++this->Traffic.MessagesRefused;
    if (this->Output)
      this->Output->warning("peer", "cannot decode a message from a peer",
                            {{"from", From}, {"error", Message.status()}});
    return;
  }
  this->Clock.update(Message->Time);
  HostDigest Seen{Message->Sender, Message->Incarnation, From, false};
  Seen.Leaving = Beat ? Beat->Phase == HostPhase::Leaving
                      : std::holds_alternative<Leaving>(Message->Message);
  if (Beat && !Beat->Address.empty())
    Seen.Address = Beat->Address;
  HostTable::Observation Observation =
      this->Hosts.observeDirect(Message->DataCentre, Seen, this->Exec.now());
  if (Observation == HostTable::Observation::Stale) {
    ++this->Traffic.MessagesRefused;
    return;
  }
  if (Observation == HostTable::Observation::Started)
    this->hostStarted(Message->Sender);
  if (Beat)
    this->heartbeatReceived(Message->Sender, *Beat);
  this->updateStates();
  if (!Beat)
    this->dispatch(*Message);
  // A host that has just started learns of the other hosts at once, without
  // waiting up to 1 s for the next heartbeat.
  if (Beat && Observation == HostTable::Observation::Started)
    this->sendHeartbeat(From, this->Hosts.find(Message->Sender));
}

void Membership::Impl::heartbeatReceived(const HostId &From,
                                         const Heartbeat &Beat) {
  PeerHost *Host = this->Hosts.find(From);
  Host->Generation = Beat.Generation;
  Host->Load = Beat.Load;
  Host->IsRelaying = Beat.Relaying;
  for (const Endpoint &Known : Beat.KnownPeers)
    this->Addresses.addReported(Known, this->Exec.now());
  for (const DataCentreId &Wanted : Beat.RequestedHostLists)
    this->Digests.resendHosts(From, Wanted);
  for (const DataCentreDigest &Digest : Beat.Digests)
    if (Digest.DataCentre != this->DataCentre)
      this->Digests.received(From, Digest, this->Hosts, this->Exec.now());
  if (Host->DataCentre == this->DataCentre) {
    if (Beat.AckedIncarnation == this->Incarnation)
      this->Views.acknowledged(From, Beat.AckedViewsVersion);
    for (const WorkerView &View :
         this->Views.received(From, {Beat.ViewsBaseVersion, Beat.Workers}))
      this->notifyListeners([&](auto &L) { L.workerViewChanged(From, View); });
  }
  std::vector<std::string> &Known = this->PeerWarnings[From];
  if (Known != Beat.Warnings) {
    Known = Beat.Warnings;
    this->notifyListeners(
        [&](auto &L) { L.warningsChanged(From, Beat.Warnings); });
  }
  if (Beat.Generation > this->Generation)
    this->notifyListeners(
        [&](auto &L) { L.newerGenerationSeen(From, Beat.Generation); });
}

void Membership::Impl::dispatch(const Envelope &Message) {
  if (isReply(Message.Message))
    this->Requests.complete(Message);
  else if (!std::holds_alternative<Leaving>(Message.Message))
    this->notifyListeners(
        [&](MembershipListener &L) { L.messageReceived(Message); });
}

void Membership::Impl::pollDirectory() {
  if (!this->Directory)
    return;
  this->Directory->fetch([this, Token = std::weak_ptr<bool>(this->Alive)](
                             const absl::StatusOr<HostList> &List) {
    if (!Token.expired())
      this->directoryAnswered(List);
  });
}

void Membership::Impl::directoryAnswered(const absl::StatusOr<HostList> &List) {
  absl::Duration Wait = this->DirectoryInterval;
  if (List.ok()) {
    std::vector<Endpoint> Listed;
    for (const ListedHost &Host : List->Hosts)
      if (Host.Role == HostRole::Entry && Host.State == HostState::Live)
        Listed.push_back(Host.Address);
    this->Addresses.setListed(Listed);
  } else {
    Wait = std::min(Wait, DirectoryRetryInterval);
  }
  this->DirectoryTimer =
      this->Exec.runAfter(Wait, [this] { this->pollDirectory(); });
}

bool Membership::Impl::isPlanner() const {
  return this->Election.planner() == this->Self &&
         this->Exec.now() - this->LastTick < RoleLossPause;
}

std::vector<HostId> Membership::Impl::liveHosts(const DataCentreId &Of) const {
  std::vector<HostId> Live;
  for (const PeerHost *Host : this->Hosts.usable(Of))
    Live.push_back(Host->Host);
  if (Of == this->DataCentre && !this->IsLeaving)
    Live.insert(std::upper_bound(Live.begin(), Live.end(), this->Self),
                this->Self);
  return Live;
}

std::optional<HostId> Membership::Impl::planner(const DataCentreId &Of) const {
  if (Of == this->DataCentre)
    return this->Election.planner();
  return plannerAmong(Of, this->liveHosts(Of));
}

// Returns the two hosts with the highest hash for this sender, so that the
// connections kept open for forwarding are few and spread over the hosts.
std::vector<HostId>
Membership::Impl::forwardTargets(const DataCentreId &Of,
                                 const std::set<HostId> &Tried) const {
  constexpr size_t Targets = 2;
  std::vector<HostId> Left;
  for (const PeerHost *Host : this->Hosts.usable(Of))
    if (Tried.count(Host->Host) == 0)
      Left.push_back(Host->Host);
  std::vector<HostId> Chosen;
  while (!Left.empty() && Chosen.size() < Targets) {
    int Best = rendezvousWinner<HostId>("forward/" + this->Self.str(), Left);
    Chosen.push_back(Left[static_cast<size_t>(Best)]);
    Left.erase(Left.begin() + Best);
  }
  return Chosen;
}

LoadSummary Membership::Impl::loadOf(const DataCentreId &Of) const {
  absl::Time Now = this->Exec.now();
  if (Of != this->DataCentre && this->IsRelaying)
    if (auto Told = this->Digests.loadOf(Of, Now, HostTimeouts().RelayedDead))
      return *Told;
  LoadSummary Sum;
  if (Of == this->DataCentre && !this->IsLeaving)
    Sum = this->Load;
  for (const PeerHost *Host : this->Hosts.usable(Of))
    Sum.add(Host->Load);
  return Sum;
}

void Membership::Impl::request(const HostId &To, PeerMessage Message,
                               absl::Duration Timeout, ReplyCallback Done) {
  int64_t Correlation =
      this->Requests.add(To, Message, Timeout, std::move(Done));
  absl::Status Status = this->send(To, std::move(Message), Correlation);
  if (Status.ok())
    return;
  this->Exec.post(
      [this, Correlation, Status, Token = std::weak_ptr<bool>(this->Alive)] {
        if (Token.expired())
          return;
        if (auto Unsent = this->Requests.takeCallback(Correlation))
          (*Unsent)(Status);
      });
}

} // namespace vanillayard
