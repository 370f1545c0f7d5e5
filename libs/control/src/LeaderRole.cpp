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

/// Renewals in one time to live, so that some may be lost.
static constexpr int RenewalsPerTimeToLive = 4;
/// Pause after a call to the store that failed.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(300);
/// Longest wait of one watch of the leader's key. A connection that has gone
/// silent is found after it, so it bounds the time of a takeover.
static constexpr absl::Duration WatchTime = absl::Milliseconds(2000);

class LeaderRole::Impl : public std::enable_shared_from_this<LeaderRole::Impl> {
public:
  explicit Impl(const Builder &Options) : Options(Options) {}

  enum class Phase { Idle, Campaigning, Following, Leading, Resigned };

  void observe();
  void follow(int64_t Revision);
  void campaign();
  void claim(int64_t NewLease, absl::Duration SentAt);
  void claimDecided(const absl::StatusOr<StoreCommit> &Result, int64_t NewLease,
                    absl::Duration SentAt);
  void lead(int64_t Revision, int64_t NewLease, absl::Duration SentAt);
  void renew();
  void renewed(const absl::Status &Result, absl::Duration SentAt);
  void lose(std::string_view Reason);
  void later(absl::Duration Delay, void (Impl::*Step)());

  std::string token(int64_t LeaseId) const {
    return this->Options.Host.str() + " " + std::to_string(LeaseId);
  }
  absl::Duration sinceConfirmed() const {
    return this->Options.Clock.now() - this->ConfirmedAt;
  }

  Builder Options;
  Phase Current = Phase::Idle;
  /// Changes with each phase, so that late callbacks are recognized.
  uint64_t Turn = 0;
  int64_t Lease = 0;
  /// When the newest confirmed renewal was sent, by the boot clock.
  absl::Duration ConfirmedAt = -absl::InfiniteDuration();
};

void LeaderRole::Impl::later(absl::Duration Delay, void (Impl::*Step)()) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Exec.runAfter(Delay, [Weak, Step, Expected = this->Turn] {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (Self && Self->Turn == Expected)
      (Self.get()->*Step)();
  });
}

/// Reads the key and follows its holder, or stands for the role.
void LeaderRole::Impl::observe() {
  this->Current = Phase::Following;
  uint64_t Expected = ++this->Turn;
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.get(
      std::string(RecordKeys::Leader),
      [Weak, Expected](absl::StatusOr<std::optional<StoreItem>> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Turn != Expected)
          return;
        if (!Result.ok())
          Self->later(RetryDelay, &Impl::observe);
        else if (Result->has_value())
          Self->follow((*Result)->StoreRevision);
        else
          Self->later(Self->Options.CandidateDelay, &Impl::campaign);
      });
}

void LeaderRole::Impl::follow(int64_t Revision) {
  this->Current = Phase::Following;
  uint64_t Expected = ++this->Turn;
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.awaitChanges(
      std::string(RecordKeys::Leader), Revision, WatchTime,
      [Weak, Expected](absl::StatusOr<StoreChanges> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Turn != Expected)
          return;
        if (!Result.ok())
          return Self->later(RetryDelay, &Impl::observe);
        if (Result->IsHistoryLost)
          return Self->observe();
        bool IsVacant =
            !Result->Changes.empty() && Result->Changes.back().IsDeleted;
        if (IsVacant)
          Self->later(Self->Options.CandidateDelay, &Impl::campaign);
        else
          Self->follow(Result->Revision);
      });
}

void LeaderRole::Impl::campaign() {
  this->Current = Phase::Campaigning;
  uint64_t Expected = ++this->Turn;
  this->Options.Events.info("role", "the role is vacant, this host stands", {});
  absl::Duration SentAt = this->Options.Clock.now();
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.grantLease(
      this->Options.TimeToLive,
      [Weak, Expected, SentAt](absl::StatusOr<int64_t> Id) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self || Self->Turn != Expected)
          return;
        if (Id.ok())
          Self->claim(*Id, SentAt);
        else
          Self->later(RetryDelay, &Impl::observe);
      });
}

void LeaderRole::Impl::claim(int64_t NewLease, absl::Duration SentAt) {
  std::string Key(RecordKeys::Leader);
  StoreTransaction Claim;
  Claim.Expected.push_back({Key, 0});
  Claim.Puts.push_back({Key, this->token(NewLease), NewLease});
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.commit(std::move(Claim),
                             [Weak, Expected = this->Turn, NewLease,
                              SentAt](absl::StatusOr<StoreCommit> Result) {
                               std::shared_ptr<Impl> Self = Weak.lock();
                               if (Self && Self->Turn == Expected)
                                 Self->claimDecided(Result, NewLease, SentAt);
                             });
}

void LeaderRole::Impl::claimDecided(const absl::StatusOr<StoreCommit> &Result,
                                    int64_t NewLease, absl::Duration SentAt) {
  if (!Result.ok()) {
    // The claim may still be carried out. If so, its lease ends it soon.
    this->Options.Events.info("role", "claim was not decided",
                              {{"error", Result.status()}});
    this->later(RetryDelay, &Impl::observe);
    return;
  }
  if (Result->IsApplied) {
    this->lead(Result->Revision, NewLease, SentAt);
    return;
  }
  if (Result->Found.empty()) {
    this->later(RetryDelay, &Impl::observe);
    return;
  }
  const StoreItem &Holder = Result->Found.front();
  if (Holder.Value == this->token(NewLease))
    this->lead(Holder.Revision, NewLease, SentAt);
  else
    this->follow(Holder.Revision);
}

void LeaderRole::Impl::lead(int64_t Revision, int64_t NewLease,
                            absl::Duration SentAt) {
  this->Current = Phase::Leading;
  ++this->Turn;
  this->Lease = NewLease;
  this->ConfirmedAt = SentAt;
  this->Options.Events.info("role", "this host is the leader",
                            {{"fence", Revision}, {"lease", NewLease}});
  this->later(this->Options.TimeToLive / RenewalsPerTimeToLive, &Impl::renew);
  this->Options.Listener->roleGained(Revision);
}

void LeaderRole::Impl::renew() {
  if (this->sinceConfirmed() >
      this->Options.TimeToLive + this->Options.MaxUnconfirmed)
    return this->lose("not confirmed for too long");
  absl::Duration SentAt = this->Options.Clock.now();
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Options.Store.keepLease(
      this->Lease, [Weak, Expected = this->Turn, SentAt](absl::Status Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (Self && Self->Turn == Expected)
          Self->renewed(Result, SentAt);
      });
}

void LeaderRole::Impl::renewed(const absl::Status &Result,
                               absl::Duration SentAt) {
  if (Result.ok()) {
    bool WasUnconfirmed = this->sinceConfirmed() > this->Options.TimeToLive;
    this->ConfirmedAt = std::max(this->ConfirmedAt, SentAt);
    if (WasUnconfirmed)
      this->Options.Events.info("role", "the role is confirmed again", {});
    this->later(this->Options.TimeToLive / RenewalsPerTimeToLive, &Impl::renew);
    return;
  }
  if (errorKindOf(Result) == ErrorKind::NotFound)
    return this->lose("its lease has ended");
  this->Options.Events.warning(
      "role", "renewal failed",
      {{"error", Result}, {"since_confirmed", this->sinceConfirmed()}});
  this->later(RetryDelay, &Impl::renew);
}

void LeaderRole::Impl::lose(std::string_view Reason) {
  this->Options.Events.warning(
      "role", "this host is no longer the leader",
      {{"reason", Reason}, {"since_confirmed", this->sinceConfirmed()}});
  this->Lease = 0;
  this->ConfirmedAt = -absl::InfiniteDuration();
  this->Options.Listener->roleLost();
  this->observe();
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
  this->Implementation->observe();
}

bool LeaderRole::isLeader() const {
  return this->Implementation->Current == Impl::Phase::Leading;
}

bool LeaderRole::mayStart() const {
  const Impl &I = *this->Implementation;
  return this->isLeader() && I.sinceConfirmed() < I.Options.TimeToLive;
}

absl::Duration LeaderRole::leaseAllowance(absl::Duration LeaseTime) const {
  const Impl &I = *this->Implementation;
  if (!this->isLeader())
    return absl::ZeroDuration();
  return std::min(LeaseTime,
                  I.Options.TimeToLive + LeaseTime - I.sinceConfirmed());
}

void LeaderRole::yield() {
  if (this->isLeader())
    this->Implementation->lose("a worker knows a later leader");
}

void LeaderRole::resign(std::function<void()> Done) {
  Impl &I = *this->Implementation;
  bool WasLeader = this->isLeader();
  int64_t Lease = std::exchange(I.Lease, 0);
  I.Current = Impl::Phase::Resigned;
  ++I.Turn;
  if (!WasLeader)
    return Done();
  I.Options.Events.info("role", "this host gives the leader's role up", {});
  I.Options.Listener->roleLost();
  I.Options.Store.endLease(Lease, [Done = std::move(Done)](absl::Status) {
    // The lease runs out by itself if this call failed.
    Done();
  });
}

} // namespace vanillayard
