#ifndef VANILLAYARD_CONTROL_WORKERDRIVER_H
#define VANILLAYARD_CONTROL_WORKERDRIVER_H

#include "RunEndCursor.h"
#include "WorkerLeaseBound.h"
#include "base/Executor.h"
#include "control/WorkerGateway.h"
#include "fleet/WorkerRegistration.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace vanillayard {

/// Sends orders to one worker and renews its lease.
///
/// The renewal is a long poll; its answer is also the worker's report of runs
/// and of ended runs (ends). At most one renewal is in flight, so reports
/// arrive in order. After its first report, a worker without runs and without
/// ends to acknowledge gets no renewals.
///
/// A renewal that acknowledges ends does not wait, and is never sent while a
/// start order is in flight. Otherwise a worker that restarts unnoticed could
/// run a task and then forget its end because of a sequence number that its
/// previous incarnation assigned.
class WorkerDriver : public std::enable_shared_from_this<WorkerDriver> {
public:
  /// Answers the driver's queries and receives its notifications.
  class Owner {
  public:
    virtual ~Owner() = default;
    /// Longest time from now for which a lease may be granted; zero or less if
    /// none may be granted.
    virtual absl::Duration maxWorkerLease() const = 0;
    /// Whether the order may be sent: the scheduler still wants it, and the
    /// role is confirmed, so that no other leader starts the same runs.
    virtual bool mayStart(const StartOrder &Order) const = 0;
    virtual int64_t fence() const = 0;
    virtual bool hasRuns(const WorkerId &Worker) const = 0;
    /// \param AskedAt when the report was requested.
    virtual void reported(const WorkerId &Worker, const WorkerReport &Report,
                          absl::Time AskedAt) = 0;
    /// The lease has expired, so the worker has no runs left.
    virtual void runsLost(const WorkerId &Worker) = 0;
    /// The worker has restarted; it numbers the ends of its runs (RunEnd) from
    /// 1 again.
    virtual void restarted(const WorkerId &Worker) = 0;
    /// \param HeldUntil if the answer is Unknown: when the run has ended at the
    ///        latest if an incarnation that is not known yet has started it.
    virtual void startAnswered(const StartOrder &Order, OrderAnswer Answer,
                               absl::Time HeldUntil) = 0;
    /// \param IsAnswered whether the worker has accepted the order.
    virtual void stopAnswered(const StopOrder &Order, bool IsAnswered) = 0;
    /// mayTakeRuns() may have changed.
    virtual void usabilityChanged(const WorkerId &Worker) = 0;
    /// The worker has refused an order because it knows a later leader.
    virtual void fenced() = 0;
  };

  /// \param LeaseEndsBy latest time at which every lease that an earlier leader
  ///        granted to this worker has expired, if it did not restart then.
  /// \param EarlierCallsUntil when the last call of an earlier leader may reach
  ///        the worker; InfinitePast if no earlier leader has called it.
  /// \param LongestLease longest lease that the worker grants, on its clock.
  WorkerDriver(Executor &Exec, WorkerGateway &Gateway, Owner &OwnerRef,
               const WorkerRegistration &Registration, absl::Time LeaseEndsBy,
               absl::Time EarlierCallsUntil, absl::Duration LongestLease);

  /// Applies a newer registration. What the worker has reported itself goes
  /// before a registration, which another program may have written.
  void update(const WorkerRegistration &Registration);
  /// Lets the driver acknowledge the ends up to \p Cursor, which are recorded.
  void acknowledge(const RunEndCursor &Cursor);
  /// Sets the highest sequence number of the ends that the scheduler has
  /// processed.
  void setProcessedEnd(int64_t Sequence) { this->ProcessedEnd = Sequence; }

  void start(const StartOrder &Order);
  void stop(const StopOrder &Order);
  /// Renews the lease if that is needed and no renewal is in flight.
  void renewIfNeeded();
  /// Reports the worker's runs as lost if the lease has expired. Must be called
  /// periodically.
  void checkLease();

  /// Whether the worker has accepted this leader's fencing token and has
  /// answered every call since its latest report.
  bool hasReported() const { return this->HasReported; }
  /// Whether the worker has reported to this leader at least once.
  bool hasEverReported() const { return this->HasEverReported; }
  /// Whether runs may be started on the worker.
  bool mayTakeRuns() const {
    return this->HasReported && this->Exec.now() >= this->StartsBlockedUntil;
  }
  const WorkerRegistration &registration() const { return this->Registration; }
  /// Time by which every lease granted to the worker has expired.
  absl::Time leaseEndsBy() const { return this->LeaseBound.endsBy(); }

  /// Stops the driver, which then ignores outstanding answers.
  void close() { this->IsClosed = true; }

private:
  /// A lease that a call may grant.
  struct Lease {
    /// Its end on the worker's clock.
    absl::Duration Until;
    /// Its end at the latest on a worker whose clock is slow.
    absl::Time EndsBy;
  };
  /// One attempt to start a run.
  struct StartAttempt {
    absl::Time SentAt;
    /// Lowest reading that the clock of the intended incarnation can show.
    absl::Duration ClockAtLeast;
    WorkerLeaseBound::CallId LeaseCall;
    /// Number of earlier attempts that were not answered.
    int Retries = 0;
  };

  WorkerTarget target() const {
    return {this->Registration.Id, this->Registration.Address};
  }
  void noteWorkerClock(absl::Duration Reading);
  void noteAnsweredClock(absl::Duration Reading, absl::Time SentAt);
  void noteRegisteredClock(absl::Duration Reading);
  absl::Duration lowestClockNow() const;
  /// \param Retries number of earlier attempts that were not answered.
  void sendStart(const StartOrder &Order, int Retries = 0);
  void startAnswered(const StartOrder &Order, OrderReply Reply,
                     const StartAttempt &Attempt);
  void noteAnsweringIncarnation(const OrderReply &Reply,
                                const StartAttempt &Attempt, bool IsLater);
  void sendHeldStarts();
  void beginIncarnation(int64_t Incarnation);
  void coverCallsOfEarlierLeaders();
  bool adoptReportedIncarnation(int64_t Incarnation, absl::Time AskedAt);
  void blockStartsForLateAcknowledgement();
  Lease longestLeaseNow() const;
  void leaseCallAnswered(WorkerLeaseBound::CallId Call, int64_t Target,
                         const RenewReply &Reply);
  void acknowledgementAnswered(const RunEndCursor &Acknowledged,
                               OrderAnswer Answer, absl::Time PendingBefore);
  void renewalAnswered(const RenewReply &Reply, absl::Time AskedAt);
  void markSuspected();
  void retryLater();
  bool needsRenewal() const;

  Executor &Exec;
  WorkerGateway &Gateway;
  Owner &OwnerRef;
  WorkerRegistration Registration;
  /// Latest reading of the worker's clock, and when it was received. It is a
  /// lower bound of the clock at that time.
  absl::Duration Clock = absl::ZeroDuration();
  absl::Time ClockAt;
  /// A report has shown the clock of this incarnation.
  bool IsClockReported = false;
  /// When a registration or a report first showed this incarnation.
  absl::Time IncarnationSeenAt;
  /// A report of the worker has shown this incarnation.
  bool IsIncarnationReported = false;
  /// Incarnation of a registration that a report has contradicted.
  int64_t RefutedIncarnation = 0;
  WorkerLeaseBound LeaseBound;
  absl::Time EarlierCallsUntil;
  absl::Duration LongestLease;
  /// An answer has shown that the known incarnation has ended; no report has
  /// shown the next one yet.
  bool IsIncarnationOver = false;
  /// When that was last shown.
  absl::Time IncarnationOverAt = absl::InfinitePast();
  bool HasReported = false;
  bool HasEverReported = false;
  /// When the latest report arrived.
  absl::Time ReportedAt = absl::InfinitePast();
  bool IsRenewing = false;
  /// The renewal in flight acknowledges ends. Start orders wait in HeldStarts
  /// for its answer, and for the first report of a new incarnation.
  bool IsAcknowledging = false;
  std::vector<StartOrder> HeldStarts;
  int StartsInFlight = 0;
  bool IsRetryPending = false;
  bool IsClosed = false;
  /// Highest sequence numbers of the ends that the scheduler has processed,
  /// that are recorded in the store, and that the worker knows to be recorded.
  int64_t ProcessedEnd = 0;
  int64_t RecordedEnd = 0;
  int64_t AcknowledgedEnd = 0;
  /// When the latest acknowledgement that is in flight or was not answered was
  /// sent. The worker may execute it until LongestOrderDelay later.
  absl::Time PendingAcknowledgementSentAt = absl::InfinitePast();
  /// No run is started before this time.
  absl::Time StartsBlockedUntil = absl::InfinitePast();
};

} // namespace vanillayard

#endif
