#include "control/LeaderRole.h"

#include "base/BootClock.h"
#include "base/ErrorKind.h"
#include "control/LeaderRoleListener.h"
#include "control/RecordKeys.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace vanillayard {

/// Lease renewals per time to live. More than one, so that the lease survives
/// the loss of some.
static constexpr int RenewalsPerTimeToLive = 4;
/// Delay before a failed call to the store is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(300);
/// Maximum duration of one watch call for the leader's key. A dead connection
/// is noticed only after it, so it bounds the time that a takeover needs.
static constexpr absl::Duration WatchTime = absl::Milliseconds(2000);

class LeaderRole::Impl : public std::enable_shared_from_this<LeaderRole::Impl> {
public:
  explicit Impl(const Builder &Options) : Options(Options) {}

  enum class Phase { Idle, Campaigning, Following, Leading, Resigned };

  void readHolder();
  void follow(int64_t Revision);
  void campaign();
  void claimRole(int64_t NewLease, absl::Duration SentAt);
  void claimAnswered(const absl::StatusOr<StoreCommit> &Result,
                     int64_t NewLease, absl::Duration SentAt);
  void becomeLeader(int64_t Revision, int64_t NewLease, absl::Duration SentAt);
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

/// Reads the leader's key; follows its holder, or campaigns if there is none.
void LeaderRole::Impl::readHolder() {
  this->Current = Phase::Following;
  uint64_t Expected = ++this->Generation;
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.get(
      std::string(RecordKeys::Leader),
      [Weak, Expected](absl::StatusOr<std::optional<StoreItem>> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Generation != Expected)
          return;
        if (!Result.ok())
          Self->runLater(RetryDelay, &Impl::readHolder);
        else if (Result->has_value())
          Self->follow((*Result)->StoreRevision);
        else
          Self->runLater(Self->Options.CandidateDelay, &Impl::campaign);
      });
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
        if (!Result.ok())
          return Self->runLater(RetryDelay, &Impl::readHolder);
        if (Result->IsHistoryLost)
          return Self->readHolder();
        bool IsVacant =
            !Result->Changes.empty() && Result->Changes.back().IsDeleted;
        if (IsVacant)
          Self->runLater(Self->Options.CandidateDelay, &Impl::campaign);
        else
          Self->follow(Result->Revision);
      });
}

void LeaderRole::Impl::campaign() {
  this->Current = Phase::Campaigning;
  uint64_t Expected = ++this->Generation;
  this->Options.Events.info("role", "the role is vacant, this host claims it",
                            {});
  absl::Duration SentAt = this->Options.Clock.now();
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.grantLease(
      this->Options.TimeToLive,
      [Weak, Expected, SentAt](absl::StatusOr<int64_t> Id) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Generation != Expected)
          return;
        if (Id.ok())
          Self->claimRole(*Id, SentAt);
        else
          Self->runLater(RetryDelay, &Impl::readHolder);
      });
}

void LeaderRole::Impl::claimRole(int64_t NewLease, absl::Duration SentAt) {
  std::string Key(RecordKeys::Leader);
  StoreTransaction Claim;
  Claim.Conditions.push_back({Key, 0});
  Claim.Puts.push_back({Key, this->holderValue(NewLease), NewLease});
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.commit(std::move(Claim),
                             [Weak, Expected = this->Generation, NewLease,
                              SentAt](absl::StatusOr<StoreCommit> Result) {
                               std::shared_ptr<Impl> Self = Weak.lock();
                               if (Self && Self->Generation == Expected)
                                 Self->claimAnswered(Result, NewLease, SentAt);
                             });
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
  if (Result->Found.empty()) {
    this->runLater(RetryDelay, &Impl::readHolder);
    return;
  }
  const StoreItem &Holder = Result->Found.front();
  if (Holder.Value == this->holderValue(NewLease))
    this->becomeLeader(Holder.Revision, NewLease, SentAt);
  else
    this->follow(Holder.Revision);
}

void LeaderRole::Impl::becomeLeader(int64_t Revision, int64_t NewLease,
                                    absl::Duration SentAt) {
  this->Current = Phase::Leading;
  ++this->Generation;
  this->Lease = NewLease;
  this->ConfirmedAt = SentAt;
  this->Options.Events.info("role", "this host is the leader",
                            {{"fence", Revision}, {"lease", NewLease}});
  this->runLater(this->Options.TimeToLive / RenewalsPerTimeToLive,
                 &Impl::renewLease);
  this->Options.Listener->roleGained(Revision);
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
    return this->loseRole("its lease has ended");
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
  return this->isLeader() && I.sinceConfirmed() < I.Options.TimeToLive;
}

absl::Duration LeaderRole::maxWorkerLease(absl::Duration LeaseTime) const {
  const Impl &I = *this->Implementation;
  if (!this->isLeader())
    return absl::ZeroDuration();
  return std::min(LeaseTime,
                  I.Options.TimeToLive + LeaseTime - I.sinceConfirmed());
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
