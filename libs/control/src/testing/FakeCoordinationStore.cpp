#include "control/testing/FakeCoordinationStore.h"

#include "base/ErrorKind.h"

#include <memory>
#include <utility>

namespace vanillayard {

static absl::Status refused() {
  return makeError(ErrorKind::PlatformUnavailable, "refused");
}

static absl::Status unanswered() {
  return makeError(ErrorKind::OutcomeUnknown, "no answer");
}

/// Runs a call with its fault. \p Apply takes effect in the store, \p Answer
/// tells the caller, \p GiveUp tells it that there is no answer.
void FakeCoordinationStore::call(const std::string &Name, Work Apply,
                                 Work Answer, Work GiveUp) {
  ++this->Calls[Name];
  Fault Kind = this->Faults ? this->Faults(Name) : Fault::None;
  switch (Kind) {
  case Fault::None:
    this->Exec.runAfter(this->Latency / 2, [this, Apply = std::move(Apply),
                                            Answer = std::move(Answer)] {
      this->endExpired();
      Apply();
      this->Exec.runAfter(this->Latency / 2, Answer);
    });
    return;
  case Fault::Refuse:
    this->Exec.runAfter(this->Latency, std::move(GiveUp));
    return;
  case Fault::LoseAnswer:
    this->Exec.runAfter(this->Latency / 2, std::move(Apply));
    break;
  case Fault::ApplyLate:
    this->Exec.runAfter(this->LateBy, std::move(Apply));
    break;
  case Fault::Drop:
    break;
  }
  this->Exec.runAfter(this->CallTimeout, std::move(GiveUp));
}

void FakeCoordinationStore::endExpired() {
  std::vector<int64_t> Expired;
  for (const auto &[Id, L] : this->Leases)
    if (L.Expires <= this->Exec.now())
      Expired.push_back(Id);
  for (int64_t Id : Expired)
    this->removeLease(Id);
}

void FakeCoordinationStore::removeLease(int64_t Id) {
  this->Leases.erase(Id);
  std::vector<std::string> Keys;
  for (const auto &[Key, Item] : this->Items)
    if (Item.Lease == Id)
      Keys.push_back(Key);
  for (const std::string &Key : Keys) {
    ++this->Revision;
    this->change(Key, nullptr, 0);
  }
  if (!Keys.empty())
    this->wakeWatches();
}

void FakeCoordinationStore::expireAllLeases() {
  while (!this->Leases.empty())
    this->removeLease(this->Leases.begin()->first);
}

void FakeCoordinationStore::change(const std::string &Key,
                                   const std::string *Value, int64_t LeaseId) {
  StoreChange Change;
  Change.Item.Key = Key;
  Change.Item.Revision = this->Revision;
  if (Value) {
    Change.Item.Value = *Value;
    this->Items[Key] = {*Value, this->Revision, LeaseId};
  } else {
    Change.IsDeleted = true;
    this->Items.erase(Key);
  }
  this->History.push_back(std::move(Change));
}

StoreChanges FakeCoordinationStore::changesAfter(const std::string &Prefix,
                                                 int64_t After) const {
  StoreChanges Out;
  Out.Revision = this->Revision;
  for (const StoreChange &Change : this->History)
    if (Change.Item.Revision > After && Change.Item.Key.starts_with(Prefix))
      Out.Changes.push_back(Change);
  return Out;
}

void FakeCoordinationStore::wakeWatches() {
  for (auto It = this->Watches.begin(); It != this->Watches.end();) {
    StoreChanges Changes = this->changesAfter(It->Prefix, It->After);
    if (Changes.Changes.empty()) {
      ++It;
      continue;
    }
    this->Exec.runAfter(this->Latency / 2,
                        [Done = std::move(It->Done),
                         Changes = std::move(Changes)] { Done(Changes); });
    It = this->Watches.erase(It);
  }
}

void FakeCoordinationStore::get(const std::string &Key, GetCallback Done) {
  auto Result = std::make_shared<std::optional<StoreItem>>();
  this->call(
      "get",
      [this, Key, Result] {
        auto Found = this->Items.find(Key);
        if (Found != this->Items.end())
          *Result = StoreItem{Key, Found->second.Value, Found->second.Revision,
                              this->Revision};
      },
      [Done, Result] { Done(*Result); }, [Done] { Done(refused()); });
}

void FakeCoordinationStore::list(const std::string &Prefix, ListCallback Done) {
  auto Result = std::make_shared<StoreListing>();
  this->call(
      "list",
      [this, Prefix, Result] {
        Result->Revision = this->Revision;
        for (const auto &[Key, Item] : this->Items)
          if (Key.starts_with(Prefix))
            Result->Items.push_back({Key, Item.Value, Item.Revision, 0});
      },
      [Done, Result] { Done(*Result); }, [Done] { Done(refused()); });
}

void FakeCoordinationStore::awaitChanges(const std::string &Prefix,
                                         int64_t After, absl::Duration Wait,
                                         ChangesCallback Done) {
  ++this->Calls["watch"];
  this->endExpired();
  if (this->Faults && this->Faults("watch") != Fault::None) {
    this->Exec.runAfter(Wait, [Done] { Done(unanswered()); });
    return;
  }
  if (After < this->OldestChange) {
    StoreChanges Lost;
    Lost.IsHistoryLost = true;
    this->Exec.runAfter(this->Latency, [Done, Lost] { Done(Lost); });
    return;
  }
  uint64_t Id = this->NextWatch++;
  this->Watches.push_back({Prefix, After, Id, std::move(Done)});
  this->Exec.runAfter(Wait, [this, Id] {
    this->endExpired();
    for (auto It = this->Watches.begin(); It != this->Watches.end(); ++It) {
      if (It->Id != Id)
        continue;
      ChangesCallback Answer = std::move(It->Done);
      StoreChanges Changes = this->changesAfter(It->Prefix, It->After);
      this->Watches.erase(It);
      return Answer(std::move(Changes));
    }
  });
  this->Exec.post([this] { this->wakeWatches(); });
}

StoreCommit FakeCoordinationStore::apply(const StoreTransaction &Transaction) {
  StoreCommit Out;
  Out.IsApplied = true;
  for (const StoreTransaction::Condition &Condition : Transaction.Expected) {
    auto Found = this->Items.find(Condition.Key);
    bool IsThere = Found != this->Items.end();
    if (IsThere)
      Out.Found.push_back(
          {Condition.Key, Found->second.Value, Found->second.Revision, 0});
    if ((IsThere ? Found->second.Revision : 0) != Condition.Revision)
      Out.IsApplied = false;
  }
  if (!Out.IsApplied)
    return Out;
  Out.Found.clear();
  Out.Revision = ++this->Revision;
  for (const StoreTransaction::Put &Put : Transaction.Puts)
    this->change(Put.Key, &Put.Value, Put.Lease);
  for (const std::string &Key : Transaction.Removes)
    if (this->Items.contains(Key))
      this->change(Key, nullptr, 0);
  this->wakeWatches();
  return Out;
}

void FakeCoordinationStore::commit(StoreTransaction Transaction,
                                   CommitCallback Done) {
  auto Result = std::make_shared<absl::StatusOr<StoreCommit>>();
  Fault Kind = this->Faults ? this->Faults("commit") : Fault::None;
  auto Saved =
      std::exchange(this->Faults, [Kind](const std::string &) { return Kind; });
  this->call(
      "commit",
      [this, Transaction = std::move(Transaction), Result] {
        for (const StoreTransaction::Put &Put : Transaction.Puts)
          if (Put.Lease != 0 && !this->Leases.contains(Put.Lease)) {
            *Result = makeError(ErrorKind::NotFound, "no such lease");
            return;
          }
        *Result = this->apply(Transaction);
      },
      [Done, Result] { Done(*Result); },
      [Done, Kind] { Done(Kind == Fault::Refuse ? refused() : unanswered()); });
  this->Faults = std::move(Saved);
}

void FakeCoordinationStore::grantLease(absl::Duration TimeToLive,
                                       LeaseCallback Done) {
  auto Id = std::make_shared<int64_t>(0);
  this->call(
      "grant",
      [this, TimeToLive, Id] {
        *Id = this->NextLease++;
        this->Leases[*Id] = {TimeToLive, this->Exec.now() + TimeToLive};
      },
      [Done, Id] { Done(*Id); }, [Done] { Done(refused()); });
}

void FakeCoordinationStore::keepLease(int64_t Id, DoneCallback Done) {
  auto Result = std::make_shared<absl::Status>();
  this->call(
      "keep",
      [this, Id, Result] {
        auto Found = this->Leases.find(Id);
        if (Found == this->Leases.end())
          *Result = makeError(ErrorKind::NotFound, "the lease has ended");
        else
          Found->second.Expires = this->Exec.now() + Found->second.TimeToLive;
      },
      [Done, Result] { Done(*Result); }, [Done] { Done(refused()); });
}

void FakeCoordinationStore::endLease(int64_t Id, DoneCallback Done) {
  this->call(
      "end", [this, Id] { this->removeLease(Id); },
      [Done] { Done(absl::OkStatus()); }, [Done] { Done(refused()); });
}

void FakeCoordinationStore::put(const std::string &Key,
                                const std::string &Value) {
  ++this->Revision;
  this->change(Key, &Value, 0);
  this->wakeWatches();
}

std::string FakeCoordinationStore::value(const std::string &Key) const {
  auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? std::string() : Found->second.Value;
}

size_t FakeCoordinationStore::countBelow(const std::string &Prefix) const {
  size_t Count = 0;
  for (const auto &[Key, Item] : this->Items)
    Count += Key.starts_with(Prefix) ? 1 : 0;
  return Count;
}

void FakeCoordinationStore::compact() {
  this->History.clear();
  this->OldestChange = this->Revision;
}

} // namespace vanillayard
