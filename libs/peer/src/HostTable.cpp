#include "HostTable.h"

#include <algorithm>

namespace vanillayard {

HostTable::Observation HostTable::observe(const DataCentreId &DataCentre,
                                          const HostDigest &Seen,
                                          absl::Time When) {
  if (Seen.Host == this->Self || Seen.Host.empty())
    return Observation::Stale;
  auto Found = this->Entries.find(Seen.Host);
  if (Found == this->Entries.end() && this->Entries.size() >= MaxHosts)
    return Observation::Stale;
  Entry &E = this->Entries[Seen.Host];
  if (Seen.Incarnation < E.Host.Incarnation)
    return Observation::Stale;
  bool IsNew = Seen.Incarnation > E.Host.Incarnation || E.Host.Host.empty();
  if (IsNew) {
    E = Entry();
    E.Host.Host = Seen.Host;
    E.Host.Incarnation = Seen.Incarnation;
  }
  E.LastEvidence = std::max(E.LastEvidence, When);
  E.Host.DataCentre = DataCentre;
  if (!Seen.Address.empty())
    E.Host.Address = Seen.Address;
  // Leaving is final for a process; the host's next process has a higher
  // incarnation.
  E.IsLeaving |= Seen.Leaving;
  return IsNew ? Observation::Started : Observation::Known;
}

HostTable::Observation HostTable::observeDirect(const DataCentreId &DataCentre,
                                                const HostDigest &Seen,
                                                absl::Time Now) {
  Observation Result = this->observe(DataCentre, Seen, Now);
  if (Result != Observation::Stale)
    this->Entries.at(Seen.Host).Host.LastDirect = Now;
  return Result;
}

void HostTable::observeRelayed(const DataCentreId &DataCentre,
                               const HostId &Relay,
                               const std::vector<HostDigest> &Hosts,
                               absl::Time Heard) {
  std::set<HostId> Listed;
  for (const HostDigest &Seen : Hosts) {
    if (this->observe(DataCentre, Seen, Heard) == Observation::Stale)
      continue;
    this->Entries.at(Seen.Host).Relayed[Relay] = Heard;
    Listed.insert(Seen.Host);
  }
  for (auto &[Host, E] : this->Entries)
    if (E.Host.DataCentre == DataCentre && Listed.count(Host) == 0)
      E.Relayed.erase(Relay);
}

PeerState HostTable::stateOf(const Entry &E, absl::Time Now) const {
  absl::Duration Direct = Now - E.Host.LastDirect;
  absl::Duration Relayed = absl::InfiniteDuration();
  for (const auto &[Relay, Heard] : E.Relayed)
    Relayed = std::min(Relayed, Now - Heard);
  if (Direct >= this->Timeouts.Dead && Relayed >= this->Timeouts.RelayedDead)
    return PeerState::Dead;
  if (E.IsLeaving)
    return PeerState::Leaving;
  if (Direct >= this->Timeouts.Suspect &&
      Relayed >= this->Timeouts.RelayedSuspect)
    return PeerState::Suspect;
  return PeerState::Live;
}

std::vector<HostId> HostTable::update(absl::Time Now) {
  std::vector<HostId> Changed;
  for (auto It = this->Entries.begin(); It != this->Entries.end();) {
    Entry &E = It->second;
    PeerState State = this->stateOf(E, Now);
    if (State == PeerState::Dead &&
        Now - E.LastEvidence >= this->Timeouts.Forget) {
      It = this->Entries.erase(It);
      continue;
    }
    if (State != E.Host.State || E.IsChanged)
      Changed.push_back(It->first);
    E.Host.State = State;
    E.IsChanged = false;
    ++It;
  }
  return Changed;
}

void HostTable::excludePause(absl::Duration Pause, absl::Time Now) {
  for (auto &[Host, E] : this->Entries) {
    // A host that was dead before the pause stays dead.
    if (E.Host.State == PeerState::Dead)
      continue;
    E.Host.LastDirect = std::min(E.Host.LastDirect + Pause, Now);
    for (auto &[Relay, Heard] : E.Relayed)
      Heard = std::min(Heard + Pause, Now);
  }
}

const PeerHost *HostTable::find(const HostId &Host) const {
  auto Found = this->Entries.find(Host);
  return Found == this->Entries.end() ? nullptr : &Found->second.Host;
}

PeerHost *HostTable::find(const HostId &Host) {
  auto Found = this->Entries.find(Host);
  return Found == this->Entries.end() ? nullptr : &Found->second.Host;
}

// A new host may have the address of a dead one; the host with the highest
// incarnation is returned.
const PeerHost *HostTable::findByAddress(const Endpoint &Address) const {
  const PeerHost *Best = nullptr;
  for (const auto &[Host, E] : this->Entries)
    if (E.Host.Address == Address &&
        (!Best || E.Host.Incarnation > Best->Incarnation))
      Best = &E.Host;
  return Best;
}

std::vector<const PeerHost *> HostTable::all() const {
  std::vector<const PeerHost *> Hosts;
  for (const auto &[Host, E] : this->Entries)
    Hosts.push_back(&E.Host);
  return Hosts;
}

std::vector<const PeerHost *>
HostTable::usable(const DataCentreId &DataCentre) const {
  std::vector<const PeerHost *> Hosts;
  for (const auto &[Host, E] : this->Entries)
    if (E.Host.DataCentre == DataCentre && E.Host.isUsable())
      Hosts.push_back(&E.Host);
  return Hosts;
}

std::set<DataCentreId> HostTable::dataCentres() const {
  std::set<DataCentreId> Names;
  for (const auto &[Host, E] : this->Entries)
    Names.insert(E.Host.DataCentre);
  return Names;
}

std::vector<HostDigest>
HostTable::hostDigests(const DataCentreId &DataCentre) const {
  std::vector<HostDigest> Hosts;
  for (const auto &[Host, E] : this->Entries)
    if (E.Host.DataCentre == DataCentre && E.Host.State != PeerState::Dead)
      Hosts.push_back({Host, E.Host.Incarnation, E.Host.Address, E.IsLeaving});
  return Hosts;
}

size_t HostTable::usableCount() const {
  return static_cast<size_t>(
      std::count_if(this->Entries.begin(), this->Entries.end(),
                    [](const auto &E) { return E.second.Host.isUsable(); }));
}

} // namespace vanillayard
