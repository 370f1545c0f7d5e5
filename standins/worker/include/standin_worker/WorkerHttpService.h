#ifndef VANILLAYARD_STANDIN_WORKER_WORKERHTTPSERVICE_H
#define VANILLAYARD_STANDIN_WORKER_WORKERHTTPSERVICE_H

#include "net/HttpResponder.h"
#include "standin_worker/WorkerFaults.h"
#include "standin_worker/WorkerModel.h"

#include <nlohmann/json_fwd.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Serves the HTTP protocol of a worker from a WorkerModel and injects faults
/// on request. Besides the protocol it serves
/// - `POST /v1/faults`: JSON with any of `fail_everything`, `freeze`,
///   `draining`, `restart` (booleans), `delay_ms`, `lose_answers`,
///   `cross_answers` and `truncate_answers` (see WorkerFaults);
/// - `GET /v1/executions`: the execution log as JSON.
class WorkerHttpService {
public:
  WorkerHttpService(Executor &Exec, WorkerModel &Model)
      : Exec(Exec), Model(Model) {}

  /// Handles one request; bind this as the handler of an HttpServer.
  void handle(HttpRequest Request, std::shared_ptr<HttpResponder> Responder);

  WorkerFaults &faults() { return this->Faults; }
  /// Sets the fault Frozen; clearing it executes the queued calls.
  void setFrozen(bool Frozen);

private:
  using ResponderRef = std::shared_ptr<HttpResponder>;

  void serveProtocol(const HttpRequest &Request, const ResponderRef &Responder);
  void serveStatus(const HttpRequest &Request, const ResponderRef &Responder);
  void serveAcquire(const HttpRequest &Request, const ResponderRef &Responder);
  void serveRenew(const HttpRequest &Request, const ResponderRef &Responder);
  void serveRun(const HttpRequest &Request, const ResponderRef &Responder);
  void serveLease(const HttpRequest &Request, const LeaseId &Lease,
                  std::string_view Action, const ResponderRef &Responder);
  void serveStart(const HttpRequest &Request, const LeaseId &Lease,
                  const Epoch &Holder, const ResponderRef &Responder);
  void serveFaults(const HttpRequest &Request, const ResponderRef &Responder);
  void serveExecutions(const ResponderRef &Responder);
  /// Returns a waiter that answers with the task's result.
  WorkerModel::Waiter makeWaiter(const LeaseId &Lease,
                                 const ResponderRef &Responder);

  /// Sends \p Response unless a fault loses, delays or truncates it.
  void answer(const ResponderRef &Responder, HttpResponse Response);
  void answerError(const ResponderRef &Responder, const LeaseId &Lease,
                   const absl::Status &Error);
  void answerReport(const ResponderRef &Responder, const LeaseId &Lease,
                    const absl::StatusOr<LeaseReport> &Report);
  void answerTask(const ResponderRef &Responder, const LeaseId &Lease,
                  const TaskResult &Result);
  void deliver(const ResponderRef &Responder, const HttpResponse &Response,
               bool Truncate);

  Executor &Exec;
  WorkerModel &Model;
  WorkerFaults Faults;
  /// Calls received while Faults.Frozen is set.
  std::vector<std::function<void()>> QueuedCalls;
  /// Responders of lost answers, kept so that their connections stay open and
  /// the clients run into their timeouts.
  std::vector<ResponderRef> UnansweredResponders;
  /// The last answer with a task result; CrossAnswers sends it instead of the
  /// next one.
  HttpResponse LastResult;
};

} // namespace vanillayard

#endif
