#include "FairQueue.h"

#include "base/ErrorKind.h"

#include <algorithm>
#include <limits>

namespace vanillayard {

static constexpr absl::Duration MinRetryAfter = absl::Milliseconds(100);

FairQueue::FairQueue(QueueSettings Settings) : Settings(std::move(Settings)) {}

void FairQueue::configure(QueueSettings NewSettings) {
  this->Settings = std::move(NewSettings);
  for (const auto &[Name, Index] : this->KindIndex)
    this->Kinds[Index].Settings = this->Settings.kind(Name);
  for (const auto &[Name, Index] : this->BoundIndex)
    this->Bounds[Index].Settings = this->Settings.account(Name);
}

uint32_t FairQueue::findOrAddKind(const KindOfWorkId &Name) {
  auto [Found, New] = this->KindIndex.try_emplace(
      Name, static_cast<uint32_t>(this->Kinds.size()));
  if (New)
    this->Kinds.emplace_back().Settings = this->Settings.kind(Name);
  return Found->second;
}

uint32_t FairQueue::findOrAddAccount(uint32_t Kind,
                                     const ClientAccountId &Name) {
  auto [Found, New] = this->Kinds[Kind].Accounts.try_emplace(
      Name, static_cast<uint32_t>(this->Accounts.size()));
  if (!New)
    return Found->second;
  auto [Bound, NewBound] = this->BoundIndex.try_emplace(
      Name, static_cast<uint32_t>(this->Bounds.size()));
  if (NewBound)
    this->Bounds.emplace_back().Settings = this->Settings.account(Name);
  AccountNode &Node = this->Accounts.emplace_back();
  Node.Kind = Kind;
  Node.Bound = Bound->second;
  return Found->second;
}

uint32_t FairQueue::findOrAddCaller(uint32_t Account, const CallerId &Name) {
  auto [Found, New] = this->Accounts[Account].Callers.try_emplace(Name, None);
  if (!New)
    return Found->second;
  if (this->FreeCallers.empty()) {
    Found->second = static_cast<uint32_t>(this->Callers.size());
    this->Callers.emplace_back();
  } else {
    Found->second = this->FreeCallers.back();
    this->FreeCallers.pop_back();
  }
  CallerNode &Node = this->Callers[Found->second];
  Node.Name = Name;
  Node.Account = Account;
  return Found->second;
}

uint32_t FairQueue::allocateEntry() {
  if (this->FreeEntries.empty()) {
    this->Entries.emplace_back();
    return static_cast<uint32_t>(this->Entries.size() - 1);
  }
  uint32_t Index = this->FreeEntries.back();
  this->FreeEntries.pop_back();
  return Index;
}

void FairQueue::activateAccount(uint32_t Account) {
  AccountNode &Node = this->Accounts[Account];
  KindNode &Kind = this->Kinds[Node.Kind];
  // An account earns no extra service for the time it was idle.
  Node.Pass = std::max(Node.Pass, Kind.VirtualTime);
  Node.Position = Kind.Active.size();
  Kind.Active.push_back(Account);
}

void FairQueue::deactivateAccount(uint32_t Account) {
  AccountNode &Node = this->Accounts[Account];
  std::vector<uint32_t> &Active = this->Kinds[Node.Kind].Active;
  Active[Node.Position] = Active.back();
  this->Accounts[Active.back()].Position = Node.Position;
  Active.pop_back();
}

void FairQueue::appendCaller(AccountNode &Account, uint32_t Caller) {
  CallerNode &Node = this->Callers[Caller];
  Node.Previous = Account.LastCaller;
  Node.Next = None;
  if (Account.LastCaller != None)
    this->Callers[Account.LastCaller].Next = Caller;
  else
    Account.FirstCaller = Caller;
  Account.LastCaller = Caller;
}

void FairQueue::removeCaller(AccountNode &Account, uint32_t Caller) {
  CallerNode &Node = this->Callers[Caller];
  if (Node.Previous != None)
    this->Callers[Node.Previous].Next = Node.Next;
  else
    Account.FirstCaller = Node.Next;
  if (Node.Next != None)
    this->Callers[Node.Next].Previous = Node.Previous;
  else
    Account.LastCaller = Node.Previous;
}

void FairQueue::linkEntry(uint32_t Index, uint32_t Caller) {
  Entry &New = this->Entries[Index];
  CallerNode &Owner = this->Callers[Caller];
  AccountNode &Account = this->Accounts[Owner.Account];
  KindNode &Kind = this->Kinds[Account.Kind];
  New.Caller = Caller;
  New.Previous = Owner.Tail;
  New.Next = None;
  if (Owner.Tail != None)
    this->Entries[Owner.Tail].Next = Index;
  else
    Owner.Head = Index;
  Owner.Tail = Index;
  if (Owner.Count++ == 0)
    this->appendCaller(Account, Caller);
  if (Account.Count++ == 0)
    this->activateAccount(Owner.Account);
  if (Kind.Count++ == 0)
    Kind.Pass = std::max(Kind.Pass, this->VirtualTime);
  ++this->Bounds[Account.Bound].Count;
  ++this->Total;
}

void FairQueue::unlinkEntry(uint32_t Index) {
  Entry &Old = this->Entries[Index];
  CallerNode &Owner = this->Callers[Old.Caller];
  AccountNode &Account = this->Accounts[Owner.Account];
  if (Old.Previous != None)
    this->Entries[Old.Previous].Next = Old.Next;
  else
    Owner.Head = Old.Next;
  if (Old.Next != None)
    this->Entries[Old.Next].Previous = Old.Previous;
  else
    Owner.Tail = Old.Previous;
  --this->Total;
  --this->Bounds[Account.Bound].Count;
  --this->Kinds[Account.Kind].Count;
  if (--Account.Count == 0)
    this->deactivateAccount(Owner.Account);
  if (--Owner.Count == 0) {
    this->removeCaller(Account, Old.Caller);
    Account.Callers.erase(Owner.Name);
    this->FreeCallers.push_back(Old.Caller);
  }
  this->Deadlines.remove(Index);
  ++Old.Generation;
  Old.Caller = None;
  this->FreeEntries.push_back(Index);
}

absl::Duration FairQueue::estimatedWaitInKind(const QueueItem &Item,
                                              const KindNode &Kind,
                                              absl::Time Now) const {
  if (Kind.Count == 0)
    return absl::ZeroDuration();
  double OwnWeight = this->Settings.account(Item.Account).Weight;
  double TotalWeight = 0;
  for (uint32_t Active : Kind.Active)
    TotalWeight += this->Bounds[this->Accounts[Active].Bound].Settings.Weight;
  double ItemsAhead = 0;
  auto Found = Kind.Accounts.find(Item.Account);
  if (Found == Kind.Accounts.end() ||
      this->Accounts[Found->second].Count == 0) {
    TotalWeight += OwnWeight;
  } else {
    // Callers are served round-robin, so an item waits for the earlier items of
    // its caller and for as many items of every other caller, but not for the
    // rest of a longer backlog.
    const AccountNode &Account = this->Accounts[Found->second];
    auto Caller = Account.Callers.find(Item.Caller);
    bool HasItems = Caller != Account.Callers.end();
    double OwnItems = HasItems ? this->Callers[Caller->second].Count : 0;
    double CallerCount = Account.Callers.size() + (HasItems ? 0 : 1);
    ItemsAhead =
        std::min<double>(Account.Count, (OwnItems + 1) * CallerCount - 1);
  }
  ItemsAhead =
      std::min<double>(Kind.Count, (ItemsAhead + 1) * TotalWeight / OwnWeight);
  return Kind.Rate.timeToServe(ItemsAhead, Now);
}

absl::Duration FairQueue::estimatedWait(const QueueItem &Item,
                                        absl::Time Now) const {
  auto Found = this->KindIndex.find(Item.Kind);
  if (Found == this->KindIndex.end())
    return absl::ZeroDuration();
  return this->estimatedWaitInKind(Item, this->Kinds[Found->second], Now);
}

absl::Status FairQueue::checkAdmission(const QueueItem &Item,
                                       const KindNode &Kind,
                                       const AccountNode &Account,
                                       absl::Time Now) const {
  const AccountBound &Bound = this->Bounds[Account.Bound];
  auto Caller = Account.Callers.find(Item.Caller);
  size_t OwnItems =
      Caller == Account.Callers.end() ? 0 : this->Callers[Caller->second].Count;
  size_t Room = this->Settings.MaxQueued -
                std::min(this->Settings.MaxQueued, this->Total);
  size_t AccountRoom = Bound.Settings.MaxQueued -
                       std::min(Bound.Settings.MaxQueued, Bound.Count);
  if (Kind.Count >= Room || OwnItems >= AccountRoom)
    return makeError(ErrorKind::QueueFull,
                     "the queue is full for this kind of work or this caller",
                     std::max(MinRetryAfter, Kind.Rate.timeToServe(1, Now)));
  if (!this->Settings.RefuseEarly)
    return absl::OkStatus();
  absl::Duration Excess =
      this->estimatedWaitInKind(Item, Kind, Now) - (Item.Deadline - Now);
  if (Excess > absl::ZeroDuration())
    return makeError(
        ErrorKind::DeadlineUnreachable,
        "the expected waiting time exceeds the time until the deadline",
        std::max(MinRetryAfter, Excess));
  return absl::OkStatus();
}

absl::StatusOr<AdmissionQueue::Handle> FairQueue::push(const QueueItem &Item,
                                                       absl::Time Now) {
  uint32_t Kind = this->findOrAddKind(Item.Kind);
  if (this->Kinds[Kind].Settings.Deferrable && !this->Settings.AdmitDeferrable)
    return makeError(ErrorKind::NoCapacity,
                     "the preset in force does not admit deferrable work");
  uint32_t Account = this->findOrAddAccount(Kind, Item.Account);
  absl::Status Refusal = this->checkAdmission(Item, this->Kinds[Kind],
                                              this->Accounts[Account], Now);
  if (!Refusal.ok())
    return Refusal;
  uint32_t Index = this->allocateEntry();
  Entry &New = this->Entries[Index];
  New.Token = Item.Token;
  New.Cost = Item.Cost;
  New.Deadline = Item.Deadline;
  this->linkEntry(Index, this->findOrAddCaller(Account, Item.Caller));
  this->Kinds[Kind].Rate.onPush(Now, this->Kinds[Kind].Count);
  this->Deadlines.add(Index, Item.Deadline);
  return (static_cast<uint64_t>(New.Generation) << 32) | Index;
}

FairQueue::KindNode &FairQueue::kindOf(const Entry &E) {
  return this->Kinds[this->Accounts[this->Callers[E.Caller].Account].Kind];
}

bool FairQueue::cancel(Handle Item) {
  auto Index = static_cast<uint32_t>(Item);
  if (Index >= this->Entries.size() ||
      this->Entries[Index].Generation != Item >> 32 ||
      this->Entries[Index].Caller == None)
    return false;
  this->unlinkEntry(Index);
  return true;
}

FairQueue::KindNode *FairQueue::selectNextKind(bool UrgentOnly) {
  KindNode *Best = nullptr;
  double MinPass = std::numeric_limits<double>::infinity();
  for (KindNode &Kind : this->Kinds) {
    if (Kind.Count == 0)
      continue;
    MinPass = std::min(MinPass, Kind.Pass);
    if (UrgentOnly && !Kind.Settings.Urgent)
      continue;
    if (!Best || Kind.Pass < Best->Pass)
      Best = &Kind;
  }
  if (Best)
    this->VirtualTime = std::max(this->VirtualTime, MinPass);
  return Best;
}

FairQueue::AccountNode &FairQueue::selectNextAccount(KindNode &Kind) {
  AccountNode *Best = nullptr;
  for (uint32_t Index : Kind.Active) {
    AccountNode &Account = this->Accounts[Index];
    if (!Best || Account.Pass < Best->Pass)
      Best = &Account;
  }
  Kind.VirtualTime = std::max(Kind.VirtualTime, Best->Pass);
  return *Best;
}

std::optional<AdmissionQueue::PoppedItem> FairQueue::pop(absl::Time Now,
                                                         bool UrgentOnly) {
  KindNode *Kind = this->selectNextKind(UrgentOnly);
  if (!Kind)
    return std::nullopt;
  AccountNode &Account = this->selectNextAccount(*Kind);
  uint32_t Caller = Account.FirstCaller;
  uint32_t Index = this->Callers[Caller].Head;
  const Entry &Next = this->Entries[Index];
  PoppedItem Result = {Next.Token, Next.Deadline <= Now};
  double Cost = Next.Cost;
  bool HasMoreItems = this->Callers[Caller].Count > 1;
  this->unlinkEntry(Index);
  // An expired item uses no slot, so its caller keeps its turn.
  if (Result.Expired) {
    Kind->Rate.onRemove(Now, Kind->Count);
    return Result;
  }
  Kind->Rate.onPop(Now, Kind->Count);
  Kind->Pass += Cost / Kind->Settings.Weight;
  Account.Pass += Cost / this->Bounds[Account.Bound].Settings.Weight;
  if (HasMoreItems) {
    this->removeCaller(Account, Caller);
    this->appendCaller(Account, Caller);
  }
  return Result;
}

std::optional<uint64_t> FairQueue::popExpired(absl::Time Now) {
  uint32_t Index = this->Deadlines.findExpired(Now);
  if (Index == DeadlineWheel::None)
    return std::nullopt;
  uint64_t Token = this->Entries[Index].Token;
  KindNode &Kind = this->kindOf(this->Entries[Index]);
  this->unlinkEntry(Index);
  Kind.Rate.onRemove(Now, Kind.Count);
  return Token;
}

absl::Duration FairQueue::drainTime(const KindOfWorkId &Kind,
                                    absl::Time Now) const {
  auto Found = this->KindIndex.find(Kind);
  if (Found == this->KindIndex.end())
    return absl::ZeroDuration();
  const KindNode &Node = this->Kinds[Found->second];
  return Node.Rate.timeToServe(static_cast<double>(Node.Count), Now);
}

size_t FairQueue::size(const KindOfWorkId &Kind) const {
  auto Found = this->KindIndex.find(Kind);
  return Found == this->KindIndex.end() ? 0 : this->Kinds[Found->second].Count;
}

} // namespace vanillayard
