#include "AddressBook.h"

#include <utility>

namespace vanillayard {

AddressBook::AddressBook(Endpoint Self, std::vector<Endpoint> Seeds)
    : Self(std::move(Self)), Seeds(Seeds.begin(), Seeds.end()) {}

void AddressBook::setListed(const std::vector<Endpoint> &Addresses) {
  this->Listed = std::set<Endpoint>(Addresses.begin(), Addresses.end());
}

void AddressBook::mention(const Endpoint &Address, absl::Time Now) {
  if (this->Mentioned.size() < MaxMentions ||
      this->Mentioned.count(Address) > 0)
    this->Mentioned[Address] = Now;
}

std::set<Endpoint> AddressBook::candidates(absl::Time Now) {
  std::set<Endpoint> All = this->Seeds;
  All.insert(this->Listed.begin(), this->Listed.end());
  for (auto It = this->Mentioned.begin(); It != this->Mentioned.end();) {
    if (Now - It->second >= MentionLifetime) {
      It = this->Mentioned.erase(It);
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
