#ifndef VANILLAYARD_CONTROL_WORKERDRIVER_H
#define VANILLAYARD_CONTROL_WORKERDRIVER_H

#include "EndMark.h"
#include "base/Executor.h"
#include "control/WorkerGateway.h"
#include "fleet/WorkerEntry.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace vanillayard {

/// Gives orders to one worker and renews its lease.
///
/// The lease is renewed by a long poll, whose answer is also the report of
/// runs and ends. There is at most one renewal at a time, so reports arrive in
/// order. A worker without runs and without ends to acknowledge is left alone.
///
/// Ends are acknowledged by a renewal that does not wait, and never while a
/// start is under way. Otherwise a worker that restarts unnoticed could run a
/// task and then forget its end because of a number from its earlier life.
class WorkerDriver : public std::enable_shared_from_this<WorkerDriver> {
public:
  /// What the driver needs to know and to tell.
  class Owner {
  public:
    virtual ~Owner() = default;
    /// Longest time from now for which the lease may run; zero or less if
    /// none may be given.
    virtual absl::Duration leaseAllowance() const = 0;
    /// The order may be sent: it is still meant, and the role is confirmed, so
    /// that nobody else starts the same runs.
    virtual bool mayStart(const StartOrder &Order) const = 0;
    virtual int64_t fence() const = 0;
    virtual bool hasRuns(const WorkerId &Worker) const = 0;
    /// \param AskedAt when the report was asked for.
    virtual void reported(const WorkerId &Worker, const WorkerReport &Report,
                          absl::Time AskedAt) = 0;
    /// No run is left: the lease has expired.
    virtual void runsLost(const WorkerId &Worker) = 0;
    /// The worker has started anew, and its list of ends with it.
    virtual void restarted(const WorkerId &Worker) = 0;
    virtual void startAnswered(const StartOrder &Order, OrderAnswer Answer) = 0;
    virtual void stopAnswered(const StopOrder &Order, bool IsAnswered) = 0;
    /// mayTakeRuns() may have changed.
    virtual void usabilityChanged(const WorkerId &Worker) = 0;
    /// The worker follows a later leader.
    virtual void fenced() = 0;
  };

  /// \param LeaseEndsBy when every lease that an earlier leader has given to
  ///        this worker has expired at the latest.
  WorkerDriver(Executor &Exec, WorkerGateway &Gateway, Owner &Target,
               const WorkerEntry &Entry, absl::Time LeaseEndsBy);

  /// Takes over a newer registration.
  void update(const WorkerEntry &Entry);
  /// Ends up to \p Mark are recorded.
  void acknowledge(const EndMark &Mark);
  /// Highest sequence number of the ends in the newest report.
  void endsTaken(int64_t Sequence) { this->TakenEnd = Sequence; }

  void start(const StartOrder &Order);
  void stop(const StopOrder &Order);
  /// Renews the lease if that is needed and no renewal is under way.
  void pump();
  /// Checks whether the lease has expired; to be called now and then.
  void checkLease();

  /// The worker has accepted the present leader's fencing token, and has
  /// answered every call since its newest report.
  bool hasReported() const { return this->HasReported; }
  /// Runs may be started on the worker.
  bool mayTakeRuns() const {
    return this->HasReported && this->Exec.now() >= this->RestsUntil;
  }
  const WorkerEntry &entry() const { return this->Entry; }
  /// No lease can be in force after this time.
  absl::Time leaseEndsBy() const { return this->LeaseEndsBy; }

  /// Ends the driver; answers that still come are ignored.
  void close() { this->IsClosed = true; }

private:
  WorkerTarget target() const { return {this->Entry.Id, this->Entry.Address}; }
  void noteClock(absl::Duration Clock);
  bool isEarlierThanKnown(absl::Duration Reading, absl::Time SentAt) const;
  /// \param Repeats earlier sendings of this order that were not answered.
  void sendStart(const StartOrder &Order, int Repeats = 0);
  void startAnswered(const StartOrder &Order, OrderReply Reply,
                     absl::Time SentAt, int Repeats);
  void releaseStarts();
  void reset(int64_t Incarnation);
  void restForLateAcknowledgement();
  absl::Duration leaseUntil();
  void acknowledgementAnswered(const EndMark &Told, OrderAnswer Answer,
                               absl::Time OpenBefore);
  void renewed(const RenewReply &Reply, absl::Time AskedAt);
  void suspect();
  void retryLater();
  bool needsRenewal() const;

  Executor &Exec;
  WorkerGateway &Gateway;
  Owner &Target;
  WorkerEntry Entry;
  /// A reading of the worker's clock and when it came in. The clock is at
  /// least that far at that time.
  absl::Duration Clock = absl::ZeroDuration();
  absl::Time ClockAt;
  absl::Time LeaseEndsBy;
  bool HasReported = false;
  bool IsRenewing = false;
  /// The renewal under way acknowledges ends. Starts wait for its answer.
  bool IsAcknowledging = false;
  std::vector<StartOrder> HeldStarts;
  int StartsUnderWay = 0;
  bool IsRetryPending = false;
  bool IsClosed = false;
  /// Ends that have been taken in, that are recorded, and that the worker has
  /// been told of.
  int64_t TakenEnd = 0;
  int64_t RecordedEnd = 0;
  int64_t ToldEnd = 0;
  /// When the newest acknowledgement was sent that is under way or was left
  /// unanswered. It may be carried out until LongestOrderDelay later.
  absl::Time OpenAcknowledgementAt = absl::InfinitePast();
  /// No run is started before this time.
  absl::Time RestsUntil = absl::InfinitePast();
};

} // namespace vanillayard

#endif
