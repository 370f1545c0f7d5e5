#ifndef VANILLAYARD_ENDPOINT_HTTPWORKERCLIENT_H
#define VANILLAYARD_ENDPOINT_HTTPWORKERCLIENT_H

#include "base/Executor.h"
#include "endpoint/WorkerClient.h"
#include "net/HttpClient.h"

#include <map>
#include <set>
#include <string_view>

namespace vanillayard {

/// WorkerClient that calls workers over their HTTP protocol.
///
/// The client checks the digest of every answer and, for a call on one lease,
/// that the answer repeats the lease id. It checks error answers too: a
/// refusal proves that nothing ran only if it answers this very call. The
/// destructor cancels all pending calls without running their callbacks.
class HttpWorkerClient final : public WorkerClient {
public:
  /// Default timeout of the calls that have no parameter for it.
  static constexpr absl::Duration DefaultControlTimeout = absl::Seconds(2);

  HttpWorkerClient(HttpClient &Http, Executor &Exec,
                   absl::Duration ControlTimeout = DefaultControlTimeout);
  ~HttpWorkerClient() override;
  HttpWorkerClient(const HttpWorkerClient &) = delete;
  HttpWorkerClient &operator=(const HttpWorkerClient &) = delete;

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
  /// Last status received from a worker; stands for the status in answers
  /// that report no change since Version.
  struct CachedStatus {
    /// Version of the status, as the worker reported it.
    std::string Version;
    WorkerStatus Status;
    absl::Time ReceivedAt;
  };

  void send(const Endpoint &Worker, HttpRequest Request, absl::Duration Timeout,
            HttpClient::ResponseCallback Done);
  void sendLeaseCall(const Endpoint &Worker, const LeaseId &Lease,
                     std::string_view Action, const Epoch *Holder,
                     Callback<LeaseReport> Done, std::string Body = "",
                     std::string Query = "");
  void sendForReport(const Endpoint &Worker, HttpRequest Request,
                     const LeaseId &Lease, Callback<LeaseReport> Done);
  void sendForResult(const Endpoint &Worker, HttpRequest Request,
                     const LeaseId &Lease, absl::Duration Timeout,
                     bool MustFinish, Callback<TaskResult> Done);
  absl::StatusOr<WorkerStatus> readStatus(const Endpoint &Worker,
                                          const HttpResponse &Response);
  absl::StatusOr<RenewResult> readRenewal(const Endpoint &Worker,
                                          const std::vector<LeaseId> &Asked,
                                          const HttpResponse &Response);
  WorkerStatus cacheStatus(const Endpoint &Worker, std::string_view Version,
                           WorkerStatus Status);
  absl::StatusOr<WorkerStatus> cachedStatus(const Endpoint &Worker) const;
  std::string cachedVersion(const Endpoint &Worker) const;

  HttpClient &Http;
  Executor &Exec;
  absl::Duration ControlTimeout;
  std::set<HttpClient::CallId> Calls;
  std::map<Endpoint, CachedStatus> Cache;
};

} // namespace vanillayard

#endif
