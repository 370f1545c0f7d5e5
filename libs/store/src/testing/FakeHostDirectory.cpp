#include "store/testing/FakeHostDirectory.h"

#include "base/ErrorKind.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

FakeHostDirectory::FakeHostDirectory(Executor &Exec) : Exec(Exec) {
  this->Lists.push_back({absl::InfinitePast(), {}});
}

FakeHostDirectory::~FakeHostDirectory() {
  *this->Alive = false;
}

HostList FakeHostDirectory::laggedList() const {
  absl::Time Limit = this->Exec.now() - this->Lag;
  HostList Result;
  for (const HostList &List : this->Lists)
    if (List.Generated <= Limit)
      Result = List;
  Result.Generated = Limit;
  return Result;
}

void FakeHostDirectory::fetch(Callback Done) {
  ++this->FetchCount;
  absl::Duration Delay = std::min(this->Latency, this->Timeout);
  bool IsLate = this->Latency > this->Timeout;
  this->Exec.runAfter(Delay, [this, IsLate, Done = std::move(Done),
                              Token = this->Alive] {
    if (!*Token)
      return;
    if (this->Down || IsLate)
      Done(
          makeError(ErrorKind::PlatformUnavailable,
                    "an outage or a timeout failed the read of the host list"));
    else
      Done(this->laggedList());
  });
}

void FakeHostDirectory::setHosts(std::vector<ListedHost> Hosts) {
  this->Lists.push_back({this->Exec.now(), std::move(Hosts)});
}

void FakeHostDirectory::setHost(const ListedHost &Host) {
  std::vector<ListedHost> Hosts = this->Lists.back().Hosts;
  auto Found =
      std::find_if(Hosts.begin(), Hosts.end(), [&](const ListedHost &Other) {
        return Other.Name == Host.Name;
      });
  if (Found == Hosts.end())
    Hosts.push_back(Host);
  else
    *Found = Host;
  this->setHosts(std::move(Hosts));
}

void FakeHostDirectory::removeHost(const std::string &Name) {
  std::vector<ListedHost> Hosts = this->Lists.back().Hosts;
  Hosts.erase(
      std::remove_if(Hosts.begin(), Hosts.end(),
                     [&](const ListedHost &Host) { return Host.Name == Name; }),
      Hosts.end());
  this->setHosts(std::move(Hosts));
}

} // namespace vanillayard
