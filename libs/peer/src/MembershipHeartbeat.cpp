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

/// Size of the length field of a frame.
static constexpr size_t FrameHeaderBytes = 4;
/// Minimum time between two heartbeats, also after an urgent change.
static constexpr absl::Duration MinHeartbeatInterval = absl::Milliseconds(100);
/// Number of first heartbeats to a host that carry the sender's address and all
/// known peers, up to MaxKnownPeers.
static constexpr uint64_t IntroductoryHeartbeats = 3;
/// To keep later heartbeats short, one in this many carries the sender's
/// address or the address of one known peer, in turn.
static constexpr uint64_t HeartbeatsPerAddress = 8;
static constexpr uint64_t HeartbeatsPerKnownPeer = 4;
/// One in this many heartbeats relays a digest whose host list is unchanged.
static constexpr uint64_t HeartbeatsPerUnchangedDigest = 2;
static constexpr size_t MaxKnownPeers = 16;
static constexpr size_t MaxWarnings = 16;

void Membership::Impl::sendHeartbeatsSoon() {
  absl::Time Now = this->Exec.now();
  this->NextHeartbeat =
      std::max(Now, this->LastHeartbeat + MinHeartbeatInterval);
  this->scheduleTick(this->NextHeartbeat - Now);
}

void Membership::Impl::sendHeartbeats() {
  std::map<Endpoint, const PeerHost *> To = this->recipients();
  this->updateConnections(To);
  for (const auto &[Address, Host] : To)
    this->sendHeartbeat(Address, Host);
}

bool Membership::Impl::isRecipient(const PeerHost &Host) const {
  if (Host.DataCentre == this->DataCentre || !this->IsRelaying)
    return true;
  if (!this->isPlanner())
    return false;
  // Without a known planner, contact to the data centre is lost and any of its
  // hosts may become reachable first.
  std::optional<HostId> Planner = this->planner(Host.DataCentre);
  return !Planner || *Planner == Host.Host;
}

std::map<Endpoint, const PeerHost *> Membership::Impl::recipients() {
  std::map<Endpoint, const PeerHost *> To;
  for (const PeerHost *Host : this->Hosts.all())
    if (!Host->Address.empty() && this->isRecipient(*Host) &&
        this->Hosts.findByAddress(Host->Address) == Host)
      To[Host->Address] = Host;
  for (const Endpoint &Candidate : this->Addresses.candidates(this->Exec.now()))
    if (!this->Hosts.findByAddress(Candidate))
      To.emplace(Candidate, nullptr);
  return To;
}

void Membership::Impl::updateConnections(
    const std::map<Endpoint, const PeerHost *> &To) {
  std::set<Endpoint> Wanted;
  for (const auto &[Address, Host] : To)
    Wanted.insert(Address);
  // While planners relay, other hosts send no heartbeats to other data centres,
  // but keep connections to them open for forwarding.
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

void Membership::Impl::sendHeartbeat(const Endpoint &To, const PeerHost *Host) {
  Recipient &R = this->Recipients[To];
  int64_t Incarnation = Host ? Host->Incarnation : 0;
  if (R.Incarnation != Incarnation)
    R = {Incarnation, 0};
  Heartbeat Beat = this->composeHeartbeat(Host, R.HeartbeatCount);
  ++R.HeartbeatCount;
  if (this->transmit(To, std::move(Beat), 0).ok()) {
    ++this->Traffic.HeartbeatsSent;
    return;
  }
  R.HeartbeatCount = 0;
  if (Host)
    for (const DataCentreId &Of : this->Hosts.dataCentres())
      this->Digests.resendHosts(Host->Host, Of);
}

Heartbeat Membership::Impl::composeHeartbeat(const PeerHost *To,
                                             uint64_t HeartbeatCount) {
  Heartbeat Beat;
  Beat.Generation = this->Generation;
  Beat.Phase = this->IsLeaving ? HostPhase::Leaving : HostPhase::Live;
  Beat.Load = this->Load;
  Beat.Relaying = this->IsRelaying;
  if (HeartbeatCount < IntroductoryHeartbeats ||
      HeartbeatCount % HeartbeatsPerAddress == 0)
    Beat.Address = this->Address;
  Beat.KnownPeers = this->knownPeersFor(To, HeartbeatCount);
  Beat.Warnings = this->Warnings;
  if (Beat.Warnings.size() > MaxWarnings)
    Beat.Warnings.resize(MaxWarnings);
  if (!To)
    return Beat;
  if (To->DataCentre == this->DataCentre) {
    ViewExchange::Batch Batch =
        this->Views.nextBatch(To->Host, this->Exec.now());
    if (!Batch.Views.empty())
      Beat.ViewsBaseVersion = Batch.After;
    Beat.Workers = std::move(Batch.Views);
    Beat.AckedViewsVersion = this->Views.takeAcknowledgement(To->Host);
    if (Beat.AckedViewsVersion > 0)
      Beat.AckedIncarnation = To->Incarnation;
  }
  this->addDigests(*To, HeartbeatCount, Beat);
  Beat.RequestedHostLists = this->Digests.takeMissingLists(To->Host);
  return Beat;
}

std::vector<Endpoint>
Membership::Impl::knownPeersFor(const PeerHost *To,
                                uint64_t HeartbeatCount) const {
  bool IsIntroduction = HeartbeatCount < IntroductoryHeartbeats;
  if (!IsIntroduction && HeartbeatCount % HeartbeatsPerKnownPeer != 0)
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
    return {Near[HeartbeatCount / HeartbeatsPerKnownPeer % Near.size()]};
  if (Near.size() > MaxKnownPeers)
    Near.resize(MaxKnownPeers);
  return Near;
}

DataCentreDigest Membership::Impl::digestOf(const DataCentreId &Of) const {
  DataCentreDigest Digest;
  Digest.DataCentre = Of;
  Digest.Hosts = this->Hosts.hostDigests(Of);
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

// Near the threshold, some hosts may relay while others do not. A planner sends
// digests if any usable host relays, even if it does not itself.
bool Membership::Impl::hasToRelay() const {
  auto All = this->Hosts.all();
  return this->IsRelaying ||
         std::any_of(All.begin(), All.end(), [](const PeerHost *Host) {
           return Host->IsRelaying && Host->isUsable();
         });
}

void Membership::Impl::addDigests(const PeerHost &To, uint64_t HeartbeatCount,
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
    if (!Digest.Hosts.empty() ||
        HeartbeatCount % HeartbeatsPerUnchangedDigest == 0)
      Beat.Digests.push_back(std::move(Digest));
  }
}

absl::Status Membership::Impl::send(const HostId &To, PeerMessage Message,
                                    int64_t Correlation) {
  const PeerHost *Host = this->Hosts.find(To);
  if (!Host)
    return makeError(ErrorKind::NoCapacity,
                     "the destination host is not a known peer");
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
  this->countBytes(IsHeartbeat, true, Size);
  return absl::OkStatus();
}

void Membership::Impl::countBytes(bool IsHeartbeat, bool IsSent, size_t Bytes) {
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
