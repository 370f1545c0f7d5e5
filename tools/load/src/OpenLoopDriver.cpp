#include "load/OpenLoopDriver.h"

#include "base/ErrorKind.h"
#include "load/AnswerReader.h"
#include "load/Recorder.h"
#include "standin_worker/TaskBody.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillayard {

using OwnBuilder = OpenLoopDriver::Builder;

OwnBuilder &OwnBuilder::hosts(std::vector<Endpoint> Value) {
  this->Hosts = std::move(Value);
  return *this;
}

OwnBuilder &OwnBuilder::workload(Workload Value) {
  this->Load = std::move(Value);
  return *this;
}

OwnBuilder &OwnBuilder::recorder(Recorder &Value) {
  this->Records = &Value;
  return *this;
}

OwnBuilder &OwnBuilder::maxInFlight(size_t Value) {
  this->MaxInFlight = Value;
  return *this;
}

OwnBuilder &OwnBuilder::drainTime(absl::Duration Value) {
  this->DrainTime = Value;
  return *this;
}

OwnBuilder &OwnBuilder::runName(std::string Value) {
  this->RunName = std::move(Value);
  return *this;
}

absl::StatusOr<std::unique_ptr<OpenLoopDriver>> OwnBuilder::build() {
  if (this->Hosts.empty())
    return absl::InvalidArgumentError("no entry hosts");
  if (this->Records == nullptr)
    return absl::InvalidArgumentError("no recorder");
  if (this->Load.streams().empty())
    return absl::InvalidArgumentError("no workload");
  return std::unique_ptr<OpenLoopDriver>(new OpenLoopDriver(*this));
}

OpenLoopDriver::OpenLoopDriver(const Builder &From)
    : Exec(From.Exec), Client(From.Client), Hosts(From.Hosts), Load(From.Load),
      Records(*From.Records), MaxInFlight(From.MaxInFlight),
      DrainTime(From.DrainTime), RunName(From.RunName) {}

OpenLoopDriver::~OpenLoopDriver() {
  this->Exec.cancel(this->SendTimer);
  this->Exec.cancel(this->DrainTimer);
  for (const auto &[Sequence, Open] : this->Flights) {
    this->Exec.cancel(Open.Timer);
    this->Client.cancel(Open.Call);
  }
}

void OpenLoopDriver::setHosts(std::vector<Endpoint> Value) {
  if (!Value.empty())
    this->Hosts = std::move(Value);
}

const LoadStream &OpenLoopDriver::streamOf(size_t Sequence) const {
  return this->Load.streams()[this->Load.requests()[Sequence].Stream];
}

size_t OpenLoopDriver::nextHost() {
  return this->NextHost = (this->NextHost + 1) % this->Hosts.size();
}

std::string OpenLoopDriver::keyOf(size_t Sequence) const {
  return fmt::format("{}-{}", this->RunName, Sequence);
}

void OpenLoopDriver::start(std::function<void()> Finished) {
  this->Done = std::move(Finished);
  this->StartedAt = this->Exec.now();
  this->sendDue();
}

void OpenLoopDriver::sendDue() {
  this->SendTimer = 0;
  const std::vector<PlannedRequest> &All = this->Load.requests();
  absl::Duration Now = this->Exec.now() - this->StartedAt;
  while (this->Next < All.size() && All[this->Next].At <= Now) {
    this->WorstSendDelay =
        std::max(this->WorstSendDelay, Now - All[this->Next].At);
    this->begin(this->Next++);
  }
  if (this->Next < All.size()) {
    this->SendTimer = this->Exec.runAfter(All[this->Next].At - Now,
                                          [this] { this->sendDue(); });
    return;
  }
  this->DrainTimer =
      this->Exec.runAfter(this->DrainTime, [this] { this->endDrain(); });
  this->endIfDone();
}

void OpenLoopDriver::begin(size_t Sequence) {
  const LoadStream &Stream = this->streamOf(Sequence);
  if (this->Flights.size() >= this->MaxInFlight) {
    this->finish(Sequence, {Outcome::NotSent, "not_run", {}, {}});
    return;
  }
  Flight &Open = this->Flights[Sequence];
  Open.Body =
      TaskBody::make(Stream.RunTime, this->keyOf(Sequence), Stream.ResultBytes);
  Open.Host = this->nextHost();
  this->post(Sequence);
}

HttpRequest OpenLoopDriver::requestFor(size_t Sequence) const {
  const LoadStream &Stream = this->streamOf(Sequence);
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/requests";
  Request.Headers.add("Vanillayard-Account", Stream.Account.str());
  Request.Headers.add("Vanillayard-Caller",
                      this->Load.requests()[Sequence].Caller.str());
  Request.Headers.add("Vanillayard-Kind", Stream.Kind.str());
  Request.Headers.add(
      "Vanillayard-Deadline-Ms",
      fmt::format("{}", absl::ToInt64Milliseconds(Stream.Deadline)));
  Request.Headers.add("Vanillayard-Repeatable",
                      Stream.Repeatable ? "true" : "false");
  if (!Stream.Repeatable)
    Request.Headers.add("Idempotency-Key", this->keyOf(Sequence));
  Request.Body = this->Flights.at(Sequence).Body;
  return Request;
}

HttpRequest OpenLoopDriver::submissionFor(size_t Sequence) const {
  const LoadStream &Stream = this->streamOf(Sequence);
  const PlannedRequest &Planned = this->Load.requests()[Sequence];
  absl::Duration Declared = Stream.RunTime * Stream.Job.DeclaredFactor;
  nlohmann::json Json = {
      {"account", Stream.Account.str()},
      {"caller", Planned.Caller.str()},
      {"kind", Stream.Kind.str()},
      {"repeatable", Stream.Repeatable},
      {"checkpointable", Stream.Job.Checkpointable},
      {"gang_size", Planned.GangSize},
      {"accelerators_per_member", Stream.Job.AcceleratorsPerMember},
      {"adjacency", Stream.Job.Adjacency},
      {"declared_run_time_ms", absl::ToInt64Milliseconds(Declared)},
      {"deadline_ms", absl::ToInt64Milliseconds(Stream.Deadline)},
      {"body", this->Flights.at(Sequence).Body}};
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/jobs";
  Request.Headers.add("Content-Type", "application/json");
  Request.Headers.add("Idempotency-Key", this->keyOf(Sequence));
  Request.Body = Json.dump();
  return Request;
}

void OpenLoopDriver::post(size_t Sequence) {
  const LoadStream &Stream = this->streamOf(Sequence);
  HttpRequest Request =
      Stream.IsJob ? this->submissionFor(Sequence) : this->requestFor(Sequence);
  Flight &Open = this->Flights.at(Sequence);
  Open.Call = this->Client.send(
      this->Hosts[Open.Host % this->Hosts.size()], std::move(Request),
      Stream.Deadline + AnswerGrace,
      [this, Sequence](const absl::StatusOr<HttpResponse> &Answer) {
        this->answered(Sequence, Answer);
      });
}

void OpenLoopDriver::answered(size_t Sequence,
                              const absl::StatusOr<HttpResponse> &Answer) {
  Flight &Open = this->Flights.at(Sequence);
  Open.Call = 0;
  bool NoConnection =
      !Answer.ok() && errorKindOf(Answer.status()) == ErrorKind::NoCapacity;
  // A balancer passes a connection that was refused on to its next host.
  if (NoConnection &&
      Open.ConnectAttempts < static_cast<int>(this->Hosts.size())) {
    ++Open.ConnectAttempts;
    ++Open.Host;
    this->post(Sequence);
    return;
  }
  if (!this->streamOf(Sequence).IsJob) {
    this->finish(Sequence, AnswerReader::readRequest(Answer, Open.Body));
    return;
  }
  if (!Answer.ok()) {
    // The idempotency key makes it safe to submit the job again.
    ++Open.Host;
    this->later(Sequence, &OpenLoopDriver::post);
    return;
  }
  Outcome Refused;
  absl::StatusOr<std::string> Id =
      AnswerReader::readSubmission(Answer, Refused);
  if (!Id.ok()) {
    this->finish(Sequence, Refused);
    return;
  }
  Open.JobId = *std::move(Id);
  this->poll(Sequence);
}

void OpenLoopDriver::later(size_t Sequence,
                           void (OpenLoopDriver::*Step)(size_t)) {
  this->Flights.at(Sequence).Timer =
      this->Exec.runAfter(PollRetryDelay, [this, Sequence, Step] {
        this->Flights.at(Sequence).Timer = 0;
        (this->*Step)(Sequence);
      });
}

void OpenLoopDriver::poll(size_t Sequence) {
  Flight &Open = this->Flights.at(Sequence);
  HttpRequest Request;
  Request.Path = "/v1/jobs/" + Open.JobId;
  Request.Query =
      fmt::format("wait_ms={}", absl::ToInt64Milliseconds(PollWait));
  Open.Call = this->Client.send(
      this->Hosts[this->nextHost()], std::move(Request), PollWait + AnswerGrace,
      [this, Sequence](const absl::StatusOr<HttpResponse> &Answer) {
        this->polled(Sequence, Answer);
      });
}

void OpenLoopDriver::polled(size_t Sequence,
                            const absl::StatusOr<HttpResponse> &Answer) {
  Flight &Open = this->Flights.at(Sequence);
  Open.Call = 0;
  std::optional<Outcome> Result =
      AnswerReader::readJob(Answer, Open.JobId, Open.Body);
  if (Result)
    this->finish(Sequence, *std::move(Result));
  else
    this->later(Sequence, &OpenLoopDriver::poll);
}

void OpenLoopDriver::finish(size_t Sequence, Outcome Result) {
  const PlannedRequest &Request = this->Load.requests()[Sequence];
  Result.EndedAt = this->Exec.now() - this->StartedAt;
  Result.Latency = Result.EndedAt - Request.At;
  this->Flights.erase(Sequence);
  this->Records.record(this->streamOf(Sequence), Request, Result);
  if (this->Observer)
    this->Observer(Request, Result);
  this->endIfDone();
}

void OpenLoopDriver::endIfDone() {
  if (this->DrainTimer == 0 || !this->Flights.empty() || !this->Done)
    return;
  this->Exec.cancel(this->DrainTimer);
  this->Exec.post(std::exchange(this->Done, nullptr));
}

void OpenLoopDriver::endDrain() {
  std::vector<size_t> Open;
  for (const auto &Entry : this->Flights)
    Open.push_back(Entry.first);
  for (size_t Sequence : Open) {
    this->Exec.cancel(this->Flights.at(Sequence).Timer);
    this->Client.cancel(this->Flights.at(Sequence).Call);
    this->finish(Sequence, {Outcome::Unfinished, "may_have_run", {}, {}});
  }
}

} // namespace vanillayard
