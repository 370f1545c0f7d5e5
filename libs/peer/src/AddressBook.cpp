#include "AddressBook.h"

#include <utility>

namespace vanillayard {

AddressBook::AddressBook(Endpoint Self, std::vector<Endpoint> Seeds)
    : Self(std::move(Self)), Seeds(Seeds.begin(), Seeds.end()) {}

void AddressBook::setListed(const std::vector<Endpoint> &Addresses) {
  this->Listed = std::set<Endpoint>(Addresses.begin(), Addresses.end());
}

void AddressBook::addReported(const Endpoint &Address, absl::Time Now) {
  if (this->Reported.size() < MaxReported || this->Reported.count(Address) > 0)
    this->Reported[Address] = Now;
}

std::set<Endpoint> AddressBook::candidates(absl::Time Now) {
  std::set<Endpoint> All = this->Seeds;
  All.insert(this->Listed.begin(), this->Listed.end());
  for (auto It = this->Reported.begin(); It != this->Reported.end();) {
    if (Now - It->second >= ReportedLifetime) {
      It = this->Reported.erase(It);
      continue;
    }
    All.insert(It->first);
    ++It;
  }
  All.erase(this->Self);
  All.erase(Endpoint());
  return All;
}

} // namespace vanillayard
