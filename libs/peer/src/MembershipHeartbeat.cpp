#include "MembershipImpl.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"
#include "observe/Counter.h"
#include "observe/HybridLogicalClock.h"
#include "peer/PeerTransport.h"
#include "wire/WireCodec.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Length field of a frame.
static constexpr size_t FrameHeaderBytes = 4;
/// Shortest time between two heartbeats, also when something urgent changed.
static constexpr absl::Duration MinBeatInterval = absl::Milliseconds(100);
/// The first heartbeats to a host carry all that it may not know.
static constexpr uint64_t IntroductionBeats = 3;
/// Later ones carry the sender's address, or the next known address, only so
/// often, to be short.
static constexpr uint64_t AddressEvery = 8;
static constexpr uint64_t KnownPeerEvery = 4;
/// A digest whose list of hosts has not changed is passed on only so often.
static constexpr uint64_t PassOnEvery = 2;
static constexpr size_t MaxKnownPeers = 16;
static constexpr size_t MaxWarnings = 16;

void Membership::Impl::beatSoon() {
  absl::Time Now = this->Exec.now();
  this->NextBeat = std::max(Now, this->LastBeat + MinBeatInterval);
  this->armTick(this->NextBeat - Now);
}

void Membership::Impl::beat() {
  std::map<Endpoint, const PeerHost *> To = this->recipients();
  this->updateConnections(To);
  for (const auto &[Address, Host] : To)
    this->beatTo(Address, Host);
}

bool Membership::Impl::isRecipient(const PeerHost &Host) const {
  if (Host.DataCentre == this->DataCentre || !this->IsRelaying)
    return true;
  if (!this->isPlanner())
    return false;
  // When contact to a data centre is lost, any of its hosts may be back first.
  std::optional<HostId> Planner = this->planner(Host.DataCentre);
  return !Planner || *Planner == Host.Host;
}

std::map<Endpoint, const PeerHost *> Membership::Impl::recipients() {
  std::map<Endpoint, const PeerHost *> To;
  for (const PeerHost *Host : this->Hosts.all())
    if (!Host->Address.empty() && this->isRecipient(*Host) &&
        this->Hosts.findAt(Host->Address) == Host)
      To[Host->Address] = Host;
  for (const Endpoint &Candidate : this->Addresses.candidates(this->Exec.now()))
    if (!this->Hosts.findAt(Candidate))
      To.emplace(Candidate, nullptr);
  return To;
}

void Membership::Impl::updateConnections(
    const std::map<Endpoint, const PeerHost *> &To) {
  std::set<Endpoint> Wanted;
  for (const auto &[Address, Host] : To)
    Wanted.insert(Address);
  // Without heartbeats, links to other data centres are kept for forwarding.
  for (const DataCentreId &Of : this->Hosts.dataCentres())
    if (this->IsRelaying && Of != this->DataCentre)
      for (const HostId &Host : this->forwardTargets(Of, {}))
        Wanted.insert(this->Hosts.find(Host)->Address);
  for (const Endpoint &Address : Wanted)
    if (this->Connected.count(Address) == 0)
      this->Transport.connect(Address);
  for (const Endpoint &Address : this->Connected)
    if (Wanted.count(Address) == 0) {
      this->Transport.forget(Address);
      this->Recipients.erase(Address);
    }
  this->Connected = std::move(Wanted);
}

void Membership::Impl::beatTo(const Endpoint &To, const PeerHost *Host) {
  Recipient &R = this->Recipients[To];
  int64_t Incarnation = Host ? Host->Incarnation : 0;
  if (R.Incarnation != Incarnation)
    R = {Incarnation, 0};
  Heartbeat Beat = this->compose(Host, R.Beats);
  ++R.Beats;
  if (this->transmit(To, std::move(Beat), 0).ok()) {
    ++this->Traffic.HeartbeatsSent;
    return;
  }
  R.Beats = 0;
  if (Host)
    for (const DataCentreId &Of : this->Hosts.dataCentres())
      this->Digests.wanted(Host->Host, Of);
}

Heartbeat Membership::Impl::compose(const PeerHost *To, uint64_t Beats) {
  Heartbeat Beat;
  Beat.Generation = this->Generation;
  Beat.Phase = this->IsLeaving ? HostPhase::Leaving : HostPhase::Live;
  Beat.Load = this->Load;
  Beat.Relaying = this->IsRelaying;
  if (Beats < IntroductionBeats || Beats % AddressEvery == 0)
    Beat.Address = this->Address;
  Beat.KnownPeers = this->peersFor(To, Beats);
  Beat.Warnings = this->Warnings;
  if (Beat.Warnings.size() > MaxWarnings)
    Beat.Warnings.resize(MaxWarnings);
  if (!To)
    return Beat;
  if (To->DataCentre == this->DataCentre) {
    ViewExchange::Batch Batch =
        this->Views.viewsFor(To->Host, this->Exec.now());
    if (!Batch.Views.empty())
      Beat.ViewsAfter = Batch.After;
    Beat.Workers = std::move(Batch.Views);
    Beat.ViewsSeen = this->Views.takeAcknowledgement(To->Host);
    if (Beat.ViewsSeen > 0)
      Beat.ViewsSeenOf = To->Incarnation;
  }
  this->addDigests(*To, Beats, Beat);
  Beat.WantedHostsOf = this->Digests.takeWanted(To->Host);
  return Beat;
}

std::vector<Endpoint> Membership::Impl::peersFor(const PeerHost *To,
                                                 uint64_t Beats) const {
  bool IsIntroduction = Beats < IntroductionBeats;
  if (!IsIntroduction && Beats % KnownPeerEvery != 0)
    return {};
  std::vector<Endpoint> Near;
  std::vector<Endpoint> Far;
  for (const PeerHost *Host : this->Hosts.all()) {
    if (Host == To || !Host->isUsable())
      continue;
    bool IsNear = !To || Host->DataCentre == To->DataCentre;
    if (IsNear || !this->IsRelaying)
      (IsNear ? Near : Far).push_back(Host->Address);
  }
  Near.insert(Near.end(), Far.begin(), Far.end());
  if (Near.empty())
    return {};
  if (!IsIntroduction)
    return {Near[Beats / KnownPeerEvery % Near.size()]};
  if (Near.size() > MaxKnownPeers)
    Near.resize(MaxKnownPeers);
  return Near;
}

DataCentreDigest Membership::Impl::digestOf(const DataCentreId &Of) const {
  DataCentreDigest Digest;
  Digest.DataCentre = Of;
  Digest.Hosts = this->Hosts.digestOf(Of);
  Digest.Load = this->loadOf(Of);
  if (Of != this->DataCentre)
    return Digest;
  HostDigest Own{this->Self, this->Incarnation, this->Address, this->IsLeaving};
  auto Place = std::find_if(
      Digest.Hosts.begin(), Digest.Hosts.end(),
      [this](const HostDigest &Host) { return Host.Host > this->Self; });
  Digest.Hosts.insert(Place, std::move(Own));
  return Digest;
}

// Hosts near the number at which relaying begins and ends may differ on it. A
// planner serves those that relay, also when it does not itself.
bool Membership::Impl::hasToRelay() const {
  auto All = this->Hosts.all();
  return this->IsRelaying ||
         std::any_of(All.begin(), All.end(), [](const PeerHost *Host) {
           return Host->IsRelaying && Host->isUsable();
         });
}

void Membership::Impl::addDigests(const PeerHost &To, uint64_t Beats,
                                  Heartbeat &Beat) {
  if (!this->isPlanner() || !this->hasToRelay())
    return;
  if (To.DataCentre != this->DataCentre) {
    Beat.Digests.push_back(
        this->Digests.prepare(To.Host, this->digestOf(this->DataCentre)));
    return;
  }
  for (const DataCentreId &Of : this->Hosts.dataCentres()) {
    if (Of == this->DataCentre)
      continue;
    DataCentreDigest Digest =
        this->Digests.prepare(To.Host, this->digestOf(Of));
    if (!Digest.Hosts.empty() || Beats % PassOnEvery == 0)
      Beat.Digests.push_back(std::move(Digest));
  }
}

absl::Status Membership::Impl::send(const HostId &To, PeerMessage Message,
                                    int64_t Correlation) {
  const PeerHost *Host = this->Hosts.find(To);
  if (!Host)
    return makeError(ErrorKind::NoCapacity, "the host is not known");
  return this->transmit(Host->Address, std::move(Message), Correlation);
}

absl::Status Membership::Impl::transmit(const Endpoint &To, PeerMessage Message,
                                        int64_t Correlation) {
  bool IsHeartbeat = std::holds_alternative<Heartbeat>(Message);
  Envelope Outer{this->Self,        this->Incarnation, this->DataCentre,
                 this->Clock.now(), Correlation,       std::move(Message)};
  absl::StatusOr<std::string> Bytes = WireCodec::encode(Outer);
  if (!Bytes.ok())
    return makeError(ErrorKind::PayloadTooLarge,
                     stdView(Bytes.status().message()));
  size_t Size = Bytes->size();
  absl::Status Status = this->Transport.send(To, std::move(*Bytes));
  if (!Status.ok())
    return makeError(ErrorKind::NoCapacity, stdView(Status.message()));
  this->count(IsHeartbeat, true, Size);
  return absl::OkStatus();
}

void Membership::Impl::count(bool IsHeartbeat, bool IsSent, size_t Bytes) {
  Bytes += FrameHeaderBytes;
  PeerTraffic &T = this->Traffic;
  if (IsSent)
    (IsHeartbeat ? T.HeartbeatBytesSent : T.OtherBytesSent) += Bytes;
  else
    (IsHeartbeat ? T.HeartbeatBytesReceived : T.OtherBytesReceived) += Bytes;
  if (Counter *C = this->ByteCounters[IsHeartbeat][IsSent])
    C->add(Bytes);
}

} // namespace vanillayard
