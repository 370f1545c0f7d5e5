#include "standin_platform/LeaseTable.h"

#include "standin_platform/KeyValueState.h"

namespace vanillayard {

LeaseTable::LeaseTable(Executor &Exec, KeyValueState &State)
    : Exec(Exec), State(State) {}

LeaseTable::~LeaseTable() {
  for (auto &[Id, Value] : this->Leases)
    this->Exec.cancel(Value.ExpiryTimer);
}

void LeaseTable::armExpiry(int64_t Id, Lease &Value) {
  this->Exec.cancel(Value.ExpiryTimer);
  Value.ExpiryTimer =
      this->Exec.runAfter(Value.Ttl, [this, Id] { this->revoke(Id); });
}

int64_t LeaseTable::grant(int64_t Id, absl::Duration Ttl) {
  if (Id == 0)
    Id = this->NextId++;
  auto [Inserted, IsNew] = this->Leases.try_emplace(Id);
  if (!IsNew)
    return 0;
  Inserted->second.Ttl = Ttl;
  this->armExpiry(Id, Inserted->second);
  return Id;
}

absl::Duration LeaseTable::keepAlive(int64_t Id) {
  auto Found = this->Leases.find(Id);
  if (Found == this->Leases.end())
    return absl::ZeroDuration();
  this->armExpiry(Id, Found->second);
  return Found->second.Ttl;
}

bool LeaseTable::revoke(int64_t Id) {
  auto Found = this->Leases.find(Id);
  if (Found == this->Leases.end())
    return false;
  this->Exec.cancel(Found->second.ExpiryTimer);
  this->Leases.erase(Found);
  this->State.begin();
  for (const KeyValue &Entry :
       this->State.range({std::string(), std::string(1, '\0')}))
    if (Entry.Lease == Id)
      this->State.erase({Entry.Key, ""});
  this->State.commit();
  return true;
}

} // namespace vanillayard
