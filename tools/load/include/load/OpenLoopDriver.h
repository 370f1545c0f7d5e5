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

/// Sends a workload on schedule whatever the answers do, and records each
/// outcome. Latency counts from the scheduled time, so that a slow system or
/// a slow driver cannot hide waiting (coordinated omission).
///
/// Each request goes to the next of the entry hosts in turn, as a balancer
/// would send it; a poll of a job may thus reach another host than its
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
    /// Requests beyond this many in flight are recorded as not sent. Default
    /// 20,000.
    Builder &maxInFlight(size_t Value);
    /// How long to wait for answers after the last arrival. Default 30 s.
    Builder &drainTime(absl::Duration Value);
    /// Prefix of idempotency keys and bodies, unique for each run against the
    /// same hosts. Default "run".
    Builder &runName(std::string Value);
    /// Errors: InvalidArgument if a required part is missing.
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

  /// Starts the schedule. \p Done runs once, when each request has an outcome
  /// or the drain time is over.
  void start(std::function<void()> Done);

  /// Also passes on each outcome. Set before start().
  void onOutcome(OutcomeCallback Callback) { this->Observer = Callback; }

  /// Changes the entry hosts of later requests.
  void setHosts(std::vector<Endpoint> Value);

  /// Longest time by which a request was sent after its scheduled time; a
  /// large value means that the driver itself was short of processor time.
  absl::Duration worstSendDelay() const { return this->WorstSendDelay; }
  size_t sent() const { return this->Next; }
  size_t inFlight() const { return this->Flights.size(); }

private:
  /// A request that was sent and has no outcome yet.
  struct Flight {
    std::string Body;
    std::string JobId;
    HttpClient::CallId Call = 0;
    Executor::TimerId Timer = 0;
    /// Index of the entry host, modulo their number.
    size_t Host = 0;
    int ConnectAttempts = 1;
  };

  /// Time that one poll of a job may wait at the host.
  static constexpr absl::Duration PollWait = absl::Seconds(5);
  static constexpr absl::Duration PollRetryDelay = absl::Milliseconds(200);
  /// Added to a request's deadline before the driver gives up on the answer.
  static constexpr absl::Duration AnswerGrace = absl::Seconds(5);

  explicit OpenLoopDriver(const Builder &From);

  const LoadStream &streamOf(size_t Sequence) const;
  size_t nextHost();
  std::string keyOf(size_t Sequence) const;
  HttpRequest requestFor(size_t Sequence) const;
  HttpRequest submissionFor(size_t Sequence) const;
  void sendDue();
  void begin(size_t Sequence);
  void post(size_t Sequence);
  void answered(size_t Sequence, const absl::StatusOr<HttpResponse> &Answer);
  void poll(size_t Sequence);
  void polled(size_t Sequence, const absl::StatusOr<HttpResponse> &Answer);
  void later(size_t Sequence, void (OpenLoopDriver::*Step)(size_t));
  void finish(size_t Sequence, Outcome Result);
  void endIfDone();
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
  size_t Next = 0;
  size_t NextHost = 0;
  Executor::TimerId SendTimer = 0;
  Executor::TimerId DrainTimer = 0;
  absl::flat_hash_map<size_t, Flight> Flights;
};

} // namespace vanillayard

#endif
