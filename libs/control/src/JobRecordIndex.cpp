#include "JobRecordIndex.h"

namespace vanillayard {

bool JobRecordIndex::add(const JobId &Id, int64_t Revision) {
  int64_t &Known = this->Revisions[Id];
  if (Revision <= Known)
    return false;
  Known = Revision;
  return true;
}

void JobRecordIndex::forget(const JobId &Id, int64_t DeletedAt) {
  auto Found = this->Revisions.find(Id);
  // Another job may have got the id since.
  if (Found != this->Revisions.end() && Found->second < DeletedAt)
    this->Revisions.erase(Found);
}

std::optional<int64_t> JobRecordIndex::revision(const JobId &Id) const {
  auto Found = this->Revisions.find(Id);
  if (Found == this->Revisions.end())
    return std::nullopt;
  return Found->second;
}

} // namespace vanillayard
