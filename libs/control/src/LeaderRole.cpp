#include "control/LeaderRole.h"

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "control/LeaderRoleListener.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <algorithm>
#include <cassert>
#include <map>
#include <utility>
#include <vector>

namespace vanillayard {

/// Lease renewals per time to live. More than one, so that the lease survives
/// the loss of some.
static constexpr int RenewalsPerTimeToLive = 4;
/// Delay before a failed call to the store is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(300);
/// The same for a leader that writes its expired key again, which other hosts
/// await for Builder::returnDelay().
static constexpr absl::Duration ReclaimRetryDelay = absl::Milliseconds(100);
/// Time after a failed call to the store for which a vacant role counts as the
/// result of an outage.
static constexpr absl::Duration OutageMemory = absl::Seconds(3);
/// Maximum duration of one watch call for the leader's key. A dead connection
/// is noticed only after it, so it bounds the time that a takeover needs.
static constexpr absl::Duration WatchTime = absl::Milliseconds(2000);

/// End of the value of vy/term if its leader records each placement before it
/// starts the task.
static constexpr std::string_view PlacementsMark = " placements";

class LeaderRole::Impl : public std::enable_shared_from_this<LeaderRole::Impl> {
public:
  explicit Impl(const Builder &Options) : Options(Options) {}

  enum class Phase { Idle, Campaigning, Following, Leading, Resigned };

  void readHolder() { this->readHolderOr(&Impl::standForVacancy); }
  void readHolderOr(void (Impl::*IfVacant)());
  void follow(int64_t Revision);
  void standForVacancy();
  /// Many hosts find the role vacant at the same time. A read costs less than a
  /// claim that fails.
  void checkVacancy() { this->readHolderOr(&Impl::campaign); }
  void campaign();
  void readPredecessor();
  using KeyWriter = void (Impl::*)(int64_t NewLease, absl::Duration SentAt);
  using CommitHandler =
      void (Impl::*)(const absl::StatusOr<StoreCommit> &Result,
                     int64_t NewLease, absl::Duration SentAt);
  void requestLease(KeyWriter Write, absl::Duration Delay,
                    void (Impl::*Retry)());
  void commitKey(std::vector<StoreTransaction::Condition> Conditions,
                 int64_t NewLease, absl::Duration SentAt,
                 CommitHandler Answered);
  void claimRole(int64_t NewLease, absl::Duration SentAt);
  void claimAnswered(const absl::StatusOr<StoreCommit> &Result,
                     int64_t NewLease, absl::Duration SentAt);
  void becomeLeader(int64_t Revision, int64_t NewLease, absl::Duration SentAt);
  void beginReclaim();
  void reclaim();
  void rewriteKey(int64_t NewLease, absl::Duration SentAt);
  void rewriteAnswered(const absl::StatusOr<StoreCommit> &Result,
                       int64_t NewLease, absl::Duration SentAt);
  void keepRole(int64_t Revision, int64_t NewLease, absl::Duration SentAt);
  void renewLease();
  void renewalAnswered(const absl::Status &Result, absl::Duration SentAt);
  void loseRole(std::string_view Reason);
  void runLater(absl::Duration Delay, void (Impl::*Step)());

  std::string holderValue(int64_t LeaseId) const {
    return this->Options.Host.str() + " " + std::to_string(LeaseId);
  }
  absl::Duration sinceConfirmed() const {
    return this->Options.Clock.now() - this->ConfirmedAt;
  }

  Builder Options;
  Phase Current = Phase::Idle;
  /// Incremented by each change of phase; callbacks of earlier phases compare
  /// it and do nothing.
  uint64_t Generation = 0;
  int64_t Lease = 0;
  /// Revision of the leader's key and of vy/term, as this host wrote them.
  int64_t KeyRevision = 0;
  /// Revision of vy/term before the claim; 0 if there was none.
  int64_t PredecessorTerm = 0;
  bool HasPredecessorRecordedPlacements = false;
  /// The leader's key has expired, or may have; another host may claim it.
  bool IsLapsed = false;
  /// Leases under which this host may have written the leader's key, with the
  /// boot clock times at which they were requested.
  std::map<int64_t, absl::Duration> ClaimLeases;
  absl::Time LastFailureAt = absl::InfinitePast();
  /// Boot clock time at which the latest confirmed renewal was sent.
  absl::Duration ConfirmedAt = -absl::InfiniteDuration();
};

void LeaderRole::Impl::runLater(absl::Duration Delay, void (Impl::*Step)()) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Exec.runAfter(Delay, [Weak, Step, Expected = this->Generation] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && Self->Generation == Expected)
      (Self.get()->*Step)();
  });
}

/// Reads the leader's key; follows its holder, or runs \p IfVacant if there is
/// none.
void LeaderRole::Impl::readHolderOr(void (Impl::*IfVacant)()) {
  this->Current = Phase::Following;
  uint64_t Expected = ++this->Generation;
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.get(std::string(RecordKeys::Leader),
                          [Weak, Expected, IfVacant](
                              absl::StatusOr<std::optional<StoreItem>> Result) {
                            std::shared_ptr<Impl> Self = Weak.lock();
                            if (!Self || Self->Generation != Expected)
                              return;
                            if (Result.ok() && !Result->has_value())
                              return (Self.get()->*IfVacant)();
                            if (Result.ok())
                              return Self->follow((*Result)->StoreRevision);
                            Self->LastFailureAt = Self->Options.Exec.now();
                            Self->runLater(RetryDelay, &Impl::readHolder);
                          });
}

/// Claims the vacant role after the delay of this host, if it is still vacant
/// then.
void LeaderRole::Impl::standForVacancy() {
  bool IsAfterOutage =
      this->Options.Exec.now() - this->LastFailureAt < OutageMemory;
  absl::Duration Delay = this->Options.CandidateDelay;
  if (IsAfterOutage)
    Delay += this->Options.ReturnDelay;
  this->runLater(Delay, &Impl::checkVacancy);
}

void LeaderRole::Impl::follow(int64_t Revision) {
  this->Current = Phase::Following;
  uint64_t Expected = ++this->Generation;
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.awaitChanges(
      std::string(RecordKeys::Leader), Revision, WatchTime,
      [Weak, Expected](absl::StatusOr<StoreChanges> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Generation != Expected)
          return;
        if (!Result.ok()) {
          Self->LastFailureAt = Self->Options.Exec.now();
          return Self->runLater(RetryDelay, &Impl::readHolder);
        }
        if (Result->IsHistoryLost)
          return Self->readHolder();
        bool IsVacant =
            !Result->Changes.empty() && Result->Changes.back().IsDeleted;
        if (IsVacant)
          Self->standForVacancy();
        else
          Self->follow(Result->Revision);
      });
}

/// Requests a lease for the leader's key and runs \p Write with it, or \p Retry
/// after \p Delay if the store grants none.
void LeaderRole::Impl::requestLease(KeyWriter Write, absl::Duration Delay,
                                    void (Impl::*Retry)()) {
  absl::Duration SentAt = this->Options.Clock.now();
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.grantLease(this->Options.TimeToLive,
                                 [Weak, Expected = this->Generation, SentAt,
                                  Write, Delay,
                                  Retry](absl::StatusOr<int64_t> Id) {
                                   std::shared_ptr<Impl> Self = Weak.lock();
                                   if (!Self || Self->Generation != Expected)
                                     return;
                                   if (Id.ok())
                                     (Self.get()->*Write)(*Id, SentAt);
                                   else
                                     Self->runLater(Delay, Retry);
                                 });
}

/// Writes the leader's key under the new lease, and vy/term, if the conditions
/// hold.
void LeaderRole::Impl::commitKey(
    std::vector<StoreTransaction::Condition> Conditions, int64_t NewLease,
    absl::Duration SentAt, CommitHandler Answered) {
  StoreTransaction Claim;
  Claim.Conditions = std::move(Conditions);
  Claim.Puts = {
      {std::string(RecordKeys::Leader), this->holderValue(NewLease), NewLease},
      {std::string(RecordKeys::Term),
       this->Options.Host.str() + std::string(PlacementsMark), 0}};
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.commit(
      std::move(Claim), [Weak, Expected = this->Generation, NewLease, SentAt,
                         Answered](absl::StatusOr<StoreCommit> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && Self->Generation == Expected)
          (Self.get()->*Answered)(Result, NewLease, SentAt);
      });
}

void LeaderRole::Impl::campaign() {
  this->Current = Phase::Campaigning;
  ++this->Generation;
  this->Options.Events.info("role", "the role is vacant, this host claims it",
                            {});
  this->readPredecessor();
}

/// Reads the latest term, which tells what the last leader has recorded. The
/// claim is conditional on it.
void LeaderRole::Impl::readPredecessor() {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.get(
      std::string(RecordKeys::Term),
      [Weak, Expected = this->Generation](
          absl::StatusOr<std::optional<StoreItem>> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Generation != Expected)
          return;
        if (!Result.ok()) {
          Self->LastFailureAt = Self->Options.Exec.now();
          return Self->runLater(RetryDelay, &Impl::readHolder);
        }
        bool HasTerm = Result->has_value();
        Self->PredecessorTerm = HasTerm ? (*Result)->Revision : 0;
        Self->HasPredecessorRecordedPlacements =
            HasTerm && (*Result)->Value.ends_with(PlacementsMark);
        Self->requestLease(&Impl::claimRole, RetryDelay, &Impl::readHolder);
      });
}

void LeaderRole::Impl::claimRole(int64_t NewLease, absl::Duration SentAt) {
  this->commitKey({{std::string(RecordKeys::Leader), 0},
                   {std::string(RecordKeys::Term), this->PredecessorTerm}},
                  NewLease, SentAt, &Impl::claimAnswered);
}

void LeaderRole::Impl::claimAnswered(const absl::StatusOr<StoreCommit> &Result,
                                     int64_t NewLease, absl::Duration SentAt) {
  if (!Result.ok()) {
    // The store may still apply the claim. The key then expires with its
    // lease, which nobody renews.
    this->Options.Events.info("role", "the outcome of the claim is unknown",
                              {{"error", Result.status()}});
    this->runLater(RetryDelay, &Impl::readHolder);
    return;
  }
  if (Result->IsApplied) {
    this->becomeLeader(Result->Revision, NewLease, SentAt);
    return;
  }
  const StoreItem *Holder = nullptr;
  for (const StoreItem &Item : Result->Found)
    if (Item.Key == RecordKeys::Leader && Item.Revision != 0)
      Holder = &Item;
  if (!Holder)
    this->runLater(RetryDelay, &Impl::readHolder);
  else if (Holder->Value == this->holderValue(NewLease))
    this->becomeLeader(Holder->Revision, NewLease, SentAt);
  else
    this->follow(Holder->Revision);
}

void LeaderRole::Impl::becomeLeader(int64_t Revision, int64_t NewLease,
                                    absl::Duration SentAt) {
  this->Current = Phase::Leading;
  ++this->Generation;
  this->Lease = NewLease;
  this->KeyRevision = Revision;
  this->IsLapsed = false;
  this->ConfirmedAt = SentAt;
  this->Options.Events.info("role", "this host is the leader",
                            {{"fence", Revision}, {"lease", NewLease}});
  this->runLater(this->Options.TimeToLive / RenewalsPerTimeToLive,
                 &Impl::renewLease);
  this->Options.Listener->roleGained(Revision);
}

void LeaderRole::Impl::beginReclaim() {
  ++this->Generation;
  this->IsLapsed = true;
  this->ClaimLeases = {{this->Lease, this->ConfirmedAt}};
  this->Options.Events.warning("role", "the leader's key has expired",
                               {{"since_confirmed", this->sinceConfirmed()}});
  this->reclaim();
}

void LeaderRole::Impl::reclaim() {
  if (this->sinceConfirmed() >
      this->Options.TimeToLive + this->Options.MaxUnconfirmed)
    return this->loseRole("its lease was not confirmed for too long");
  this->requestLease(&Impl::rewriteKey, ReclaimRetryDelay, &Impl::reclaim);
}

void LeaderRole::Impl::rewriteKey(int64_t NewLease, absl::Duration SentAt) {
  this->ClaimLeases.emplace(NewLease, SentAt);
  this->commitKey({{std::string(RecordKeys::Leader), 0},
                   {std::string(RecordKeys::Term), this->KeyRevision}},
                  NewLease, SentAt, &Impl::rewriteAnswered);
}

void LeaderRole::Impl::rewriteAnswered(
    const absl::StatusOr<StoreCommit> &Result, int64_t NewLease,
    absl::Duration SentAt) {
  if (!Result.ok())
    return this->runLater(ReclaimRetryDelay, &Impl::reclaim);
  if (Result->IsApplied)
    return this->keepRole(Result->Revision, NewLease, SentAt);
  const StoreItem *Holder = nullptr;
  int64_t TermRevision = 0;
  for (const StoreItem &Item : Result->Found) {
    if (Item.Key == RecordKeys::Leader)
      Holder = &Item;
    else if (Item.Key == RecordKeys::Term)
      TermRevision = Item.Revision;
  }
  // An earlier attempt may have been applied without an answer. Its claim must
  // be the latest one.
  for (const auto &[Known, RequestedAt] : this->ClaimLeases)
    if (Holder && Holder->Value == this->holderValue(Known) &&
        Holder->Revision == TermRevision)
      return this->keepRole(Holder->Revision, Known, RequestedAt);
  this->loseRole("another host has claimed it");
}

/// Goes on as leader under a key that this host has written again.
void LeaderRole::Impl::keepRole(int64_t Revision, int64_t NewLease,
                                absl::Duration SentAt) {
  ++this->Generation;
  bool IsRewritten = Revision != this->KeyRevision;
  this->Lease = NewLease;
  this->KeyRevision = Revision;
  this->IsLapsed = false;
  this->ConfirmedAt = std::max(this->ConfirmedAt, SentAt);
  this->Options.Events.info("role", "this host is still the leader",
                            {{"key_revision", Revision},
                             {"lease", NewLease},
                             {"rewritten", IsRewritten}});
  this->runLater(absl::ZeroDuration(), &Impl::renewLease);
  if (IsRewritten)
    this->Options.Listener->roleReclaimed(Revision);
}

void LeaderRole::Impl::renewLease() {
  if (this->sinceConfirmed() >
      this->Options.TimeToLive + this->Options.MaxUnconfirmed)
    return this->loseRole("its lease was not confirmed for too long");
  absl::Duration SentAt = this->Options.Clock.now();
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.renewLease(
      this->Lease,
      [Weak, Expected = this->Generation, SentAt](absl::Status Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && Self->Generation == Expected)
          Self->renewalAnswered(Result, SentAt);
      });
}

void LeaderRole::Impl::renewalAnswered(const absl::Status &Result,
                                       absl::Duration SentAt) {
  if (Result.ok()) {
    bool WasUnconfirmed = this->sinceConfirmed() > this->Options.TimeToLive;
    this->ConfirmedAt = std::max(this->ConfirmedAt, SentAt);
    if (WasUnconfirmed)
      this->Options.Events.info("role", "the lease is confirmed again", {});
    this->runLater(this->Options.TimeToLive / RenewalsPerTimeToLive,
                   &Impl::renewLease);
    return;
  }
  if (errorKindOf(Result) == ErrorKind::NotFound)
    return this->beginReclaim();
  this->Options.Events.warning(
      "role", "lease renewal failed",
      {{"error", Result}, {"since_confirmed", this->sinceConfirmed()}});
  this->runLater(RetryDelay, &Impl::renewLease);
}

void LeaderRole::Impl::loseRole(std::string_view Reason) {
  this->Options.Events.warning(
      "role", "this host is no longer the leader",
      {{"reason", Reason}, {"since_confirmed", this->sinceConfirmed()}});
  this->Lease = 0;
  this->IsLapsed = false;
  this->ClaimLeases.clear();
  this->ConfirmedAt = -absl::InfiniteDuration();
  this->Options.Listener->roleLost();
  this->readHolder();
}

LeaderRole::Builder &LeaderRole::Builder::host(HostId Value) {
  this->Host = std::move(Value);
  return *this;
}

LeaderRole::Builder &LeaderRole::Builder::listener(LeaderRoleListener &Value) {
  this->Listener = &Value;
  return *this;
}

LeaderRole::Builder &LeaderRole::Builder::timeToLive(absl::Duration Value) {
  this->TimeToLive = Value;
  return *this;
}

LeaderRole::Builder &LeaderRole::Builder::maxUnconfirmed(absl::Duration Value) {
  this->MaxUnconfirmed = Value;
  return *this;
}

LeaderRole::Builder &LeaderRole::Builder::candidateDelay(absl::Duration Value) {
  this->CandidateDelay = Value;
  return *this;
}

LeaderRole::Builder &LeaderRole::Builder::returnDelay(absl::Duration Value) {
  this->ReturnDelay = Value;
  return *this;
}

std::unique_ptr<LeaderRole> LeaderRole::Builder::build() {
  assert(this->Listener && !this->Host.empty());
  return std::unique_ptr<LeaderRole>(
      new LeaderRole(std::make_shared<Impl>(*this)));
}

LeaderRole::LeaderRole(std::shared_ptr<Impl> Implementation)
    : Implementation(std::move(Implementation)) {}

LeaderRole::~LeaderRole() = default;

void LeaderRole::start() {
  this->Implementation->readHolder();
}

bool LeaderRole::isLeader() const {
  return this->Implementation->Current == Impl::Phase::Leading;
}

bool LeaderRole::isConfirmed() const {
  const Impl &I = *this->Implementation;
  return this->isLeader() && !I.IsLapsed &&
         I.sinceConfirmed() < I.Options.TimeToLive;
}

bool LeaderRole::hasPredecessorRecordedPlacements() const {
  return this->Implementation->HasPredecessorRecordedPlacements;
}

absl::Duration LeaderRole::maxWorkerLease(absl::Duration LeaseTime) const {
  const Impl &I = *this->Implementation;
  if (!this->isLeader())
    return absl::ZeroDuration();
  return std::min(LeaseTime,
                  I.Options.TimeToLive + LeaseTime - I.sinceConfirmed());
}

void LeaderRole::verify() {
  if (this->isLeader() && !this->Implementation->IsLapsed)
    this->Implementation->beginReclaim();
}

void LeaderRole::stepDown() {
  if (this->isLeader())
    this->Implementation->loseRole("a worker knows a later leader");
}

void LeaderRole::resign(std::function<void()> Done) {
  Impl &I = *this->Implementation;
  bool WasLeader = this->isLeader();
  int64_t Lease = std::exchange(I.Lease, 0);
  I.Current = Impl::Phase::Resigned;
  ++I.Generation;
  if (!WasLeader)
    return Done();
  I.Options.Events.info("role", "this host gives the leader's role up", {});
  I.Options.Listener->roleLost();
  I.Options.Store.endLease(Lease, [Done = std::move(Done)](absl::Status) {
    // If the call failed, the lease expires by itself.
    Done();
  });
}

} // namespace vanillayard
