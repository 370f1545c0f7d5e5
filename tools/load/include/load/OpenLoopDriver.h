#ifndef VANILLAYARD_LOAD_OPENLOOPDRIVER_H
#define VANILLAYARD_LOAD_OPENLOOPDRIVER_H

#include "base/Executor.h"
#include "base/Ids.h"
#include "load/Outcome.h"
#include "load/Workload.h"
#include "net/HttpClient.h"

#include "absl/container/flat_hash_map.h"
#include "absl/status/statusor.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

class Recorder;

/// Open-loop load generator: sends each request of a workload at its scheduled
/// time, however late earlier answers are, and records each outcome. Latency
/// counts from the scheduled time, so that a slow system or a slow driver does
/// not hide queueing time (coordinated omission).
///
/// The driver sends requests to the entry hosts in turn (round robin), as a
/// load balancer does; a poll of a job may thus reach another host than its
/// submission did.
class OpenLoopDriver {
public:
  class Builder {
  public:
    Builder(Executor &Exec, HttpClient &Client) : Exec(Exec), Client(Client) {}
    /// Entry hosts, at least one. Required.
    Builder &hosts(std::vector<Endpoint> Value);
    /// Required.
    Builder &workload(Workload Value);
    /// Required; must outlive the driver.
    Builder &recorder(Recorder &Value);
    /// Limit of requests in flight. The driver records a request beyond it as
    /// not sent. Default 20,000.
    Builder &maxInFlight(size_t Value);
    /// How long to wait for answers after the last arrival. Default 30 s.
    Builder &drainTime(absl::Duration Value);
    /// Prefix of idempotency keys and bodies, unique for each run against the
    /// same hosts. Default "run".
    Builder &runName(std::string Value);
    /// Errors: InvalidArgument if a required setting is missing.
    absl::StatusOr<std::unique_ptr<OpenLoopDriver>> build();

  private:
    friend class OpenLoopDriver;
    Executor &Exec;
    HttpClient &Client;
    std::vector<Endpoint> Hosts;
    Workload Load;
    Recorder *Records = nullptr;
    size_t MaxInFlight = 20000;
    absl::Duration DrainTime = absl::Seconds(30);
    std::string RunName = "run";
  };

  using OutcomeCallback =
      std::function<void(const PlannedRequest &, const Outcome &)>;

  ~OpenLoopDriver();

  /// Starts the schedule. Calls \p Done once, when each request has an outcome
  /// or the drain time is over.
  void start(std::function<void()> Done);

  /// Sets a callback that receives each outcome. Call it before start().
  void onOutcome(OutcomeCallback Callback) { this->Observer = Callback; }

  /// Changes the entry hosts of later requests. Ignores an empty list.
  void setHosts(std::vector<Endpoint> Value);

  /// Longest delay from a request's scheduled time until the driver sent it; a
  /// large value means that the driver itself was short of processor time.
  absl::Duration worstSendDelay() const { return this->WorstSendDelay; }
  size_t sent() const { return this->NextSequence; }
  size_t inFlight() const { return this->InFlightRequests.size(); }

private:
  /// A request that the driver has sent and that has no outcome yet.
  struct InFlightRequest {
    std::string Body;
    std::string JobId;
    HttpClient::CallId Call = 0;
    Executor::TimerId Timer = 0;
    /// Index of the entry host, modulo the number of hosts.
    size_t Host = 0;
    int ConnectAttempts = 1;
  };

  /// Long-poll time of one poll of a job (wait_ms).
  static constexpr absl::Duration PollWait = absl::Seconds(5);
  static constexpr absl::Duration PollRetryDelay = absl::Milliseconds(200);
  /// Time that the driver waits for an answer after the request's deadline or
  /// the poll's wait time is over.
  static constexpr absl::Duration AnswerGrace = absl::Seconds(5);

  explicit OpenLoopDriver(const Builder &From);

  const LoadStream &streamOf(size_t Sequence) const;
  size_t nextHost();
  std::string keyOf(size_t Sequence) const;
  HttpRequest requestFor(size_t Sequence) const;
  HttpRequest submissionFor(size_t Sequence) const;
  void sendDueRequests();
  void beginRequest(size_t Sequence);
  void sendRequest(size_t Sequence);
  void handleAnswer(size_t Sequence,
                    const absl::StatusOr<HttpResponse> &Answer);
  void pollJob(size_t Sequence);
  void handlePollAnswer(size_t Sequence,
                        const absl::StatusOr<HttpResponse> &Answer);
  void retryLater(size_t Sequence, void (OpenLoopDriver::*Step)(size_t));
  void finishRequest(size_t Sequence, Outcome Result);
  void endRunIfDone();
  void endDrain();

  Executor &Exec;
  HttpClient &Client;
  std::vector<Endpoint> Hosts;
  Workload Load;
  Recorder &Records;
  size_t MaxInFlight;
  absl::Duration DrainTime;
  std::string RunName;

  OutcomeCallback Observer;
  std::function<void()> Done;
  absl::Time StartedAt;
  absl::Duration WorstSendDelay;
  size_t NextSequence = 0;
  size_t NextHost = 0;
  Executor::TimerId SendTimer = 0;
  Executor::TimerId DrainTimer = 0;
  absl::flat_hash_map<size_t, InFlightRequest> InFlightRequests;
};

} // namespace vanillayard

#endif
