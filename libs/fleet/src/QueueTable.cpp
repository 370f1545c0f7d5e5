#include "fleet/QueueTable.h"

#include <utility>

namespace vanillayard {

QueueTable::QueueTable(FleetConfiguration Configuration)
    : Configuration(std::move(Configuration)) {
  const std::vector<Queue> &Queues = this->Configuration.Queues;
  for (size_t I = 0; I < Queues.size(); ++I)
    this->QueuesByHost[Queues[I].HostName].push_back(I);
  const std::vector<AccountSettings> &Accounts = this->Configuration.Accounts;
  for (size_t I = 0; I < Accounts.size(); ++I)
    for (const std::string &Key : Accounts[I].ApiKeys)
      this->AccountsByKey.emplace(Key, I);
}

const Queue *QueueTable::findQueue(std::string_view HostName,
                                   std::string_view Path) const {
  std::string Host(HostName.substr(0, HostName.find(':')));
  auto Found = this->QueuesByHost.find(Host);
  if (Found == this->QueuesByHost.end())
    return nullptr;
  const Queue *Best = nullptr;
  for (size_t Position : Found->second) {
    const Queue &Candidate = this->Configuration.Queues[Position];
    bool Matches =
        Path.substr(0, Candidate.PathPrefix.size()) == Candidate.PathPrefix;
    if (Matches &&
        (!Best || Candidate.PathPrefix.size() > Best->PathPrefix.size()))
      Best = &Candidate;
  }
  return Best;
}

const AccountSettings *
QueueTable::findAccountByKey(std::string_view ApiKey) const {
  auto Found = this->AccountsByKey.find(std::string(ApiKey));
  if (Found == this->AccountsByKey.end())
    return nullptr;
  return &this->Configuration.Accounts[Found->second];
}

} // namespace vanillayard
