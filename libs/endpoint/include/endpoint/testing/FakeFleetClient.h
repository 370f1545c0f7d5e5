#ifndef VANILLAYARD_ENDPOINT_TESTING_FAKEFLEETCLIENT_H
#define VANILLAYARD_ENDPOINT_TESTING_FAKEFLEETCLIENT_H

#include "endpoint/WorkerClient.h"
#include "endpoint/testing/FakeWorkerFleet.h"

#include <cstdint>
#include <memory>
#include <set>

namespace vanillayard {

/// In-memory WorkerClient that calls the worker models of a FakeWorkerFleet.
/// Each client represents one entry host, so that a test can cut the links of
/// one host and keep those of the others.
///
/// Each message takes the configured latency. A call over a cut link, to a
/// frozen worker or with a lost answer ends with OutcomeUnknown at its timeout;
/// a call to a dead or unknown worker ends with NoCapacity. The destructor
/// drops all pending calls without running their callbacks.
class FakeFleetClient final : public WorkerClient {
public:
  /// Timeout of the calls that have no parameter for it.
  static constexpr absl::Duration ControlTimeout = absl::Seconds(2);

  FakeFleetClient(Executor &Exec, FakeWorkerFleet &Fleet);
  ~FakeFleetClient() override;

  /// Time that a message takes in each direction. Default 500 microseconds.
  void setLatency(absl::Duration Value) { this->Latency = Value; }
  /// A cut link loses every message in both directions.
  void setLinkCut(const Endpoint &Worker, bool Cut);
  /// Cuts the links to all workers, or restores those that setLinkCut() has
  /// not cut.
  void setAllLinksCut(bool Cut) { this->AllCut = Cut; }

  void status(const Endpoint &Worker, Callback<WorkerStatus> Done) override;
  void acquire(const Endpoint &Worker, const LeaseRequest &Request,
               Callback<LeaseReport> Done) override;
  void renew(const Endpoint &Worker, const std::vector<LeaseId> &Leases,
             const Epoch &Holder, absl::Duration Ttl,
             Callback<RenewResult> Done) override;
  void start(const Endpoint &Worker, const LeaseId &Lease, const Epoch &Holder,
             std::string Body, Callback<LeaseReport> Done) override;
  void startAndWait(const Endpoint &Worker, const LeaseId &Lease,
                    const Epoch &Holder, std::string Body,
                    absl::Duration Timeout, Callback<TaskResult> Done) override;
  void run(const Endpoint &Worker, const LeaseRequest &Request,
           std::string Body, absl::Duration Timeout,
           Callback<TaskResult> Done) override;
  void query(const Endpoint &Worker, const LeaseId &Lease,
             Callback<TaskResult> Done) override;
  void revoke(const Endpoint &Worker, const LeaseId &Lease,
              Callback<RevokeResult> Done) override;
  void stop(const Endpoint &Worker, const LeaseId &Lease, const Epoch &Holder,
            Callback<LeaseReport> Done) override;
  void checkpoint(const Endpoint &Worker, const LeaseId &Lease,
                  const Epoch &Holder, Callback<LeaseReport> Done) override;
  void throttle(const Endpoint &Worker, const LeaseId &Lease,
                const Epoch &Holder, double Share,
                Callback<LeaseReport> Done) override;
  void release(const Endpoint &Worker, const LeaseId &Lease,
               Callback<LeaseReport> Done) override;

private:
  template <typename T> struct Call;
  template <typename T>
  using Operation = std::function<void(WorkerModel &, Callback<T>)>;

  template <typename T>
  void startCall(const Endpoint &Worker, absl::Duration Timeout,
                 Operation<T> Execute, Callback<T> Done);
  template <typename T> void deliverRequest(std::shared_ptr<Call<T>> State);
  template <typename T> void executeCall(std::shared_ptr<Call<T>> State);
  template <typename T>
  void sendAnswer(std::shared_ptr<Call<T>> State, absl::StatusOr<T> Answer);
  template <typename T>
  void finishCall(const std::shared_ptr<Call<T>> &State,
                  absl::StatusOr<T> Answer);
  bool isCut(const Endpoint &Worker) const;

  Executor &Exec;
  FakeWorkerFleet &Fleet;
  absl::Duration Latency = absl::Microseconds(500);
  std::set<Endpoint> CutLinks;
  bool AllCut = false;
  /// Expires with the client. Callbacks of pending calls hold weak references
  /// to it and do nothing once it has expired.
  std::shared_ptr<FakeFleetClient *> Alive;
};

} // namespace vanillayard

#endif
