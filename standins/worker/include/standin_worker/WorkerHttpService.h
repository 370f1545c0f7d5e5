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

/// Answers the HTTP protocol of a worker from a WorkerModel, with faults on
/// command. Besides the protocol it serves
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
  /// Sets the fault Frozen; when it ends, the calls that waited are made.
  void setFrozen(bool Frozen);

private:
  using Responder = std::shared_ptr<HttpResponder>;

  void serve(const HttpRequest &Request, const Responder &To);
  void serveStatus(const HttpRequest &Request, const Responder &To);
  void serveAcquire(const HttpRequest &Request, const Responder &To);
  void serveRenew(const HttpRequest &Request, const Responder &To);
  void serveRun(const HttpRequest &Request, const Responder &To);
  void serveLease(const HttpRequest &Request, const LeaseId &Lease,
                  std::string_view Action, const Responder &To);
  void serveStart(const HttpRequest &Request, const LeaseId &Lease,
                  const Epoch &Holder, const Responder &To);
  void serveFaults(const HttpRequest &Request, const Responder &To);
  void serveExecutions(const Responder &To);
  WorkerModel::Waiter taskAnswer(const LeaseId &Lease, const Responder &To);

  void answer(const Responder &To, HttpResponse Response);
  void answerError(const Responder &To, const LeaseId &Lease,
                   const absl::Status &Error);
  void answerReport(const Responder &To, const LeaseId &Lease,
                    const absl::StatusOr<LeaseReport> &Report);
  void answerTask(const Responder &To, const LeaseId &Lease,
                  const TaskResult &Result);
  void deliver(const Responder &To, const HttpResponse &Response,
               bool Truncate);

  Executor &Exec;
  WorkerModel &Model;
  WorkerFaults Faults;
  std::vector<std::function<void()>> Waiting;
  /// Responders whose answer was lost: kept so that the connection stays open
  /// and the client runs into its timeout.
  std::vector<Responder> Lost;
  /// The last task result, to be sent in place of the next one.
  HttpResponse LastResult;
};

} // namespace vanillayard

#endif
