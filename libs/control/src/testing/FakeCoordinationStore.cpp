#include "control/testing/FakeCoordinationStore.h"

#include "base/ErrorKind.h"

#include <memory>
#include <utility>

namespace vanillayard {

static absl::Status refusedError() {
  return makeError(ErrorKind::PlatformUnavailable, "refused");
}

static absl::Status unansweredError() {
  return makeError(ErrorKind::OutcomeUnknown,
                   "the store did not answer the call in time");
}

/// Runs a call with the fault that Faults chooses. \p Apply changes or reads
/// the store, \p Answer answers the caller, \p GiveUp reports that the call
/// failed.
void FakeCoordinationStore::runCall(const std::string &Name, Work Apply,
                                    Work Answer, Work GiveUp) {
  ++this->Calls[Name];
  Fault Kind = this->Faults ? this->Faults(Name) : Fault::None;
  switch (Kind) {
  case Fault::None:
    this->Exec.runAfter(this->Latency / 2, [this, Apply = std::move(Apply),
                                            Answer = std::move(Answer)] {
      this->removeExpiredLeases();
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

void FakeCoordinationStore::removeExpiredLeases() {
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
    this->recordChange(Key, nullptr, 0);
  }
  if (!Keys.empty())
    this->answerWatches();
}

void FakeCoordinationStore::expireAllLeases() {
  while (!this->Leases.empty())
    this->removeLease(this->Leases.begin()->first);
}

void FakeCoordinationStore::recordChange(const std::string &Key,
                                         const std::string *Value,
                                         int64_t LeaseId) {
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

void FakeCoordinationStore::answerWatches() {
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
  this->runCall(
      "get",
      [this, Key, Result] {
        auto Found = this->Items.find(Key);
        if (Found != this->Items.end())
          *Result = StoreItem{Key, Found->second.Value, Found->second.Revision,
                              this->Revision};
      },
      [Done, Result] { Done(*Result); }, [Done] { Done(refusedError()); });
}

void FakeCoordinationStore::list(const std::string &Prefix, ListCallback Done) {
  auto Result = std::make_shared<StoreListing>();
  this->runCall(
      "list",
      [this, Prefix, Result] {
        Result->Revision = this->Revision;
        for (const auto &[Key, Item] : this->Items)
          if (Key.starts_with(Prefix))
            Result->Items.push_back({Key, Item.Value, Item.Revision, 0});
      },
      [Done, Result] { Done(*Result); }, [Done] { Done(refusedError()); });
}

void FakeCoordinationStore::awaitChanges(const std::string &Prefix,
                                         int64_t After, absl::Duration Wait,
                                         ChangesCallback Done) {
  ++this->Calls["watch"];
  this->removeExpiredLeases();
  if (this->Faults && this->Faults("watch") != Fault::None) {
    this->Exec.runAfter(Wait, [Done] { Done(unansweredError()); });
    return;
  }
  if (After < this->CompactedRevision) {
    StoreChanges Lost;
    Lost.IsHistoryLost = true;
    this->Exec.runAfter(this->Latency, [Done, Lost] { Done(Lost); });
    return;
  }
  uint64_t Id = this->NextWatch++;
  this->Watches.push_back({Prefix, After, Id, std::move(Done)});
  this->Exec.runAfter(Wait, [this, Id] {
    this->removeExpiredLeases();
    for (auto It = this->Watches.begin(); It != this->Watches.end(); ++It) {
      if (It->Id != Id)
        continue;
      ChangesCallback Answer = std::move(It->Done);
      StoreChanges Changes = this->changesAfter(It->Prefix, It->After);
      this->Watches.erase(It);
      return Answer(std::move(Changes));
    }
  });
  this->Exec.post([this] { this->answerWatches(); });
}

StoreCommit
FakeCoordinationStore::applyTransaction(const StoreTransaction &Transaction) {
  StoreCommit Out;
  Out.IsApplied = true;
  for (const StoreTransaction::Condition &Condition : Transaction.Conditions) {
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
    this->recordChange(Put.Key, &Put.Value, Put.Lease);
  for (const std::string &Key : Transaction.Removes)
    if (this->Items.contains(Key))
      this->recordChange(Key, nullptr, 0);
  this->answerWatches();
  return Out;
}

void FakeCoordinationStore::commit(StoreTransaction Transaction,
                                   CommitCallback Done) {
  auto Result = std::make_shared<absl::StatusOr<StoreCommit>>();
  Fault Kind = this->Faults ? this->Faults("commit") : Fault::None;
  // runCall() gets the fault that was chosen here, as Faults may count its
  // calls.
  auto Saved =
      std::exchange(this->Faults, [Kind](const std::string &) { return Kind; });
  this->runCall(
      "commit",
      [this, Transaction = std::move(Transaction), Result] {
        for (const StoreTransaction::Put &Put : Transaction.Puts)
          if (Put.Lease != 0 && !this->Leases.contains(Put.Lease)) {
            *Result = makeError(ErrorKind::NotFound,
                                "the lease of a put does not exist");
            return;
          }
        *Result = this->applyTransaction(Transaction);
      },
      [Done, Result] { Done(*Result); },
      [Done, Kind] {
        Done(Kind == Fault::Refuse ? refusedError() : unansweredError());
      });
  this->Faults = std::move(Saved);
}

void FakeCoordinationStore::grantLease(absl::Duration TimeToLive,
                                       LeaseCallback Done) {
  auto Id = std::make_shared<int64_t>(0);
  this->runCall(
      "grant",
      [this, TimeToLive, Id] {
        *Id = this->NextLease++;
        this->Leases[*Id] = {TimeToLive, this->Exec.now() + TimeToLive};
      },
      [Done, Id] { Done(*Id); }, [Done] { Done(refusedError()); });
}

void FakeCoordinationStore::renewLease(int64_t Id, DoneCallback Done) {
  auto Result = std::make_shared<absl::Status>();
  this->runCall(
      "keep",
      [this, Id, Result] {
        auto Found = this->Leases.find(Id);
        if (Found == this->Leases.end())
          *Result = makeError(ErrorKind::NotFound, "the lease has ended");
        else
          Found->second.Expires = this->Exec.now() + Found->second.TimeToLive;
      },
      [Done, Result] { Done(*Result); }, [Done] { Done(refusedError()); });
}

void FakeCoordinationStore::endLease(int64_t Id, DoneCallback Done) {
  this->runCall(
      "end", [this, Id] { this->removeLease(Id); },
      [Done] { Done(absl::OkStatus()); }, [Done] { Done(refusedError()); });
}

void FakeCoordinationStore::put(const std::string &Key,
                                const std::string &Value) {
  ++this->Revision;
  this->recordChange(Key, &Value, 0);
  this->answerWatches();
}

void FakeCoordinationStore::remove(const std::string &Key) {
  ++this->Revision;
  this->recordChange(Key, nullptr, 0);
  this->answerWatches();
}

std::string FakeCoordinationStore::value(const std::string &Key) const {
  auto Found = this->Items.find(Key);
  return Found == this->Items.end() ? std::string() : Found->second.Value;
}

size_t FakeCoordinationStore::countWithPrefix(const std::string &Prefix) const {
  size_t Count = 0;
  for (const auto &[Key, Item] : this->Items)
    Count += Key.starts_with(Prefix) ? 1 : 0;
  return Count;
}

void FakeCoordinationStore::compact() {
  this->History.clear();
  this->CompactedRevision = this->Revision;
}

} // namespace vanillayard
