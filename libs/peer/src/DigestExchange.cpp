#include "DigestExchange.h"

#include "base/Rendezvous.h"

#include <algorithm>
#include <string>

namespace vanillayard {

int64_t hashOf(const std::vector<HostDigest> &Hosts) {
  if (Hosts.empty())
    return 0;
  std::string Text;
  for (const HostDigest &Host : Hosts) {
    (Text += Host.Host.str()) += '\0';
    (Text += Host.Address.str()) += '\0';
    Text += std::to_string(Host.Incarnation) + (Host.Leaving ? "l;" : ";");
  }
  constexpr uint64_t Mask = 0x7fffffff;
  return static_cast<int64_t>(std::max<uint64_t>(stableHash(Text) & Mask, 1));
}

DataCentreDigest DigestExchange::prepare(const HostId &To,
                                         DataCentreDigest Digest) {
  Digest.HostsHash = hashOf(Digest.Hosts);
  int64_t &Sent = this->SentHashes[{To, Digest.DataCentre}];
  if (Sent == Digest.HostsHash)
    Digest.Hosts.clear();
  Sent = Digest.HostsHash;
  return Digest;
}

void DigestExchange::resendHosts(const HostId &To,
                                 const DataCentreId &DataCentre) {
  this->SentHashes.erase({To, DataCentre});
}

void DigestExchange::received(const HostId &From,
                              const DataCentreDigest &Digest, HostTable &Hosts,
                              absl::Time Now) {
  Key ListKey(From, Digest.DataCentre);
  Received &R = this->ReceivedDigests[ListKey];
  if (!Digest.Hosts.empty() || Digest.HostsHash == 0) {
    if (hashOf(Digest.Hosts) != Digest.HostsHash)
      return;
    R.Digest.Hosts = Digest.Hosts;
    R.Digest.HostsHash = Digest.HostsHash;
  }
  if (R.Digest.HostsHash != Digest.HostsHash) {
    this->MissingLists.insert(ListKey);
    return;
  }
  R.Digest.Load = Digest.Load;
  R.Heard = Now - Digest.Age;
  Hosts.observeRelayed(Digest.DataCentre, From, R.Digest.Hosts, R.Heard);
}

std::vector<DataCentreId> DigestExchange::takeMissingLists(const HostId &From) {
  std::vector<DataCentreId> Names;
  for (auto It = this->MissingLists.lower_bound({From, DataCentreId()});
       It != this->MissingLists.end() && It->first == From;
       It = this->MissingLists.erase(It))
    Names.push_back(It->second);
  return Names;
}

std::optional<LoadSummary>
DigestExchange::loadOf(const DataCentreId &DataCentre, absl::Time Now,
                       absl::Duration MaxAge) const {
  std::optional<LoadSummary> Load;
  absl::Time Newest = Now - MaxAge;
  for (const auto &[ListKey, R] : this->ReceivedDigests) {
    if (ListKey.second != DataCentre || R.Heard < Newest)
      continue;
    Newest = R.Heard;
    Load = R.Digest.Load;
  }
  return Load;
}

absl::Time DigestExchange::heardOf(const DataCentreId &DataCentre) const {
  absl::Time Newest = absl::InfinitePast();
  for (const auto &[ListKey, R] : this->ReceivedDigests)
    if (ListKey.second == DataCentre)
      Newest = std::max(Newest, R.Heard);
  return Newest;
}

void DigestExchange::forget(const HostId &Host) {
  std::erase_if(this->SentHashes,
                [&](const auto &E) { return E.first.first == Host; });
  std::erase_if(this->ReceivedDigests,
                [&](const auto &E) { return E.first.first == Host; });
  std::erase_if(this->MissingLists,
                [&](const Key &K) { return K.first == Host; });
}

} // namespace vanillayard
