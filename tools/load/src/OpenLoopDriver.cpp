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
    return absl::InvalidArgumentError("the list of entry hosts is empty");
  if (this->Records == nullptr)
    return absl::InvalidArgumentError("no recorder was set");
  if (this->Load.streams().empty())
    return absl::InvalidArgumentError(
        "the workload is missing or has no streams");
  return std::unique_ptr<OpenLoopDriver>(new OpenLoopDriver(*this));
}

OpenLoopDriver::OpenLoopDriver(const Builder &From)
    : Exec(From.Exec), Client(From.Client), Hosts(From.Hosts), Load(From.Load),
      Records(*From.Records), MaxInFlight(From.MaxInFlight),
      DrainTime(From.DrainTime), RunName(From.RunName) {}

OpenLoopDriver::~OpenLoopDriver() {
  this->Exec.cancel(this->SendTimer);
  this->Exec.cancel(this->DrainTimer);
  for (const auto &[Sequence, InFlight] : this->InFlightRequests) {
    this->Exec.cancel(InFlight.Timer);
    this->Client.cancel(InFlight.Call);
  }
}

void OpenLoopDriver::setHosts(std::vector<Endpoint> Value) {
  if (!Value.empty())
    this->Hosts = std::move(Value);
}

const LoadStream &OpenLoopDriver::streamOf(size_t Sequence) const {
  return this->Load.streams()[this->Load.requests()[Sequence].StreamIndex];
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
  this->sendDueRequests();
}

void OpenLoopDriver::sendDueRequests() {
  this->SendTimer = 0;
  const std::vector<PlannedRequest> &All = this->Load.requests();
  absl::Duration Now = this->Exec.now() - this->StartedAt;
  while (this->NextSequence < All.size() &&
         All[this->NextSequence].ScheduledTime <= Now) {
    this->WorstSendDelay = std::max(
        this->WorstSendDelay, Now - All[this->NextSequence].ScheduledTime);
    this->beginRequest(this->NextSequence++);
  }
  if (this->NextSequence < All.size()) {
    this->SendTimer =
        this->Exec.runAfter(All[this->NextSequence].ScheduledTime - Now,
                            [this] { this->sendDueRequests(); });
    return;
  }
  this->DrainTimer =
      this->Exec.runAfter(this->DrainTime, [this] { this->endDrain(); });
  this->endRunIfDone();
}

void OpenLoopDriver::beginRequest(size_t Sequence) {
  const LoadStream &Stream = this->streamOf(Sequence);
  if (this->InFlightRequests.size() >= this->MaxInFlight) {
    this->finishRequest(Sequence, {Outcome::NotSent, "not_run", {}, {}});
    return;
  }
  InFlightRequest &InFlight = this->InFlightRequests[Sequence];
  InFlight.Body =
      TaskBody::make(Stream.RunTime, this->keyOf(Sequence), Stream.ResultBytes);
  InFlight.Host = this->nextHost();
  this->sendRequest(Sequence);
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
  Request.Body = this->InFlightRequests.at(Sequence).Body;
  return Request;
}

HttpRequest OpenLoopDriver::submissionFor(size_t Sequence) const {
  const LoadStream &Stream = this->streamOf(Sequence);
  const PlannedRequest &Planned = this->Load.requests()[Sequence];
  absl::Duration Declared = Stream.RunTime * Stream.Job.DeclaredRunTimeFactor;
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
      {"body", this->InFlightRequests.at(Sequence).Body}};
  HttpRequest Request;
  Request.Method = "POST";
  Request.Path = "/v1/jobs";
  Request.Headers.add("Content-Type", "application/json");
  Request.Headers.add("Idempotency-Key", this->keyOf(Sequence));
  Request.Body = Json.dump();
  return Request;
}

void OpenLoopDriver::sendRequest(size_t Sequence) {
  const LoadStream &Stream = this->streamOf(Sequence);
  HttpRequest Request =
      Stream.IsJob ? this->submissionFor(Sequence) : this->requestFor(Sequence);
  InFlightRequest &InFlight = this->InFlightRequests.at(Sequence);
  InFlight.Call = this->Client.send(
      this->Hosts[InFlight.Host % this->Hosts.size()], std::move(Request),
      Stream.Deadline + AnswerGrace,
      [this, Sequence](const absl::StatusOr<HttpResponse> &Answer) {
        this->handleAnswer(Sequence, Answer);
      });
}

void OpenLoopDriver::handleAnswer(size_t Sequence,
                                  const absl::StatusOr<HttpResponse> &Answer) {
  InFlightRequest &InFlight = this->InFlightRequests.at(Sequence);
  InFlight.Call = 0;
  bool NoConnection =
      !Answer.ok() && errorKindOf(Answer.status()) == ErrorKind::NoCapacity;
  // If a host refuses the connection, the driver tries the next host, as a load
  // balancer does.
  if (NoConnection &&
      InFlight.ConnectAttempts < static_cast<int>(this->Hosts.size())) {
    ++InFlight.ConnectAttempts;
    ++InFlight.Host;
    this->sendRequest(Sequence);
    return;
  }
  if (!this->streamOf(Sequence).IsJob) {
    this->finishRequest(Sequence,
                        AnswerReader::readRequest(Answer, InFlight.Body));
    return;
  }
  if (!Answer.ok()) {
    // The idempotency key makes it safe to submit the job again.
    ++InFlight.Host;
    this->retryLater(Sequence, &OpenLoopDriver::sendRequest);
    return;
  }
  Outcome Refused;
  absl::StatusOr<std::string> Id =
      AnswerReader::readSubmission(Answer, Refused);
  if (!Id.ok()) {
    this->finishRequest(Sequence, Refused);
    return;
  }
  InFlight.JobId = *std::move(Id);
  this->pollJob(Sequence);
}

void OpenLoopDriver::retryLater(size_t Sequence,
                                void (OpenLoopDriver::*Step)(size_t)) {
  this->InFlightRequests.at(Sequence).Timer =
      this->Exec.runAfter(PollRetryDelay, [this, Sequence, Step] {
        this->InFlightRequests.at(Sequence).Timer = 0;
        (this->*Step)(Sequence);
      });
}

void OpenLoopDriver::pollJob(size_t Sequence) {
  InFlightRequest &InFlight = this->InFlightRequests.at(Sequence);
  HttpRequest Request;
  Request.Path = "/v1/jobs/" + InFlight.JobId;
  Request.Query =
      fmt::format("wait_ms={}", absl::ToInt64Milliseconds(PollWait));
  InFlight.Call = this->Client.send(
      this->Hosts[this->nextHost()], std::move(Request), PollWait + AnswerGrace,
      [this, Sequence](const absl::StatusOr<HttpResponse> &Answer) {
        this->handlePollAnswer(Sequence, Answer);
      });
}

void OpenLoopDriver::handlePollAnswer(
    size_t Sequence, const absl::StatusOr<HttpResponse> &Answer) {
  InFlightRequest &InFlight = this->InFlightRequests.at(Sequence);
  InFlight.Call = 0;
  std::optional<Outcome> Result =
      AnswerReader::readJob(Answer, InFlight.JobId, InFlight.Body);
  if (Result)
    this->finishRequest(Sequence, *std::move(Result));
  else
    this->retryLater(Sequence, &OpenLoopDriver::pollJob);
}

void OpenLoopDriver::finishRequest(size_t Sequence, Outcome Result) {
  const PlannedRequest &Request = this->Load.requests()[Sequence];
  Result.EndedAt = this->Exec.now() - this->StartedAt;
  Result.Latency = Result.EndedAt - Request.ScheduledTime;
  this->InFlightRequests.erase(Sequence);
  this->Records.record(this->streamOf(Sequence), Request, Result);
  if (this->Observer)
    this->Observer(Request, Result);
  this->endRunIfDone();
}

void OpenLoopDriver::endRunIfDone() {
  if (this->DrainTimer == 0 || !this->InFlightRequests.empty() || !this->Done)
    return;
  this->Exec.cancel(this->DrainTimer);
  this->Exec.post(std::exchange(this->Done, nullptr));
}

void OpenLoopDriver::endDrain() {
  std::vector<size_t> InFlight;
  for (const auto &Entry : this->InFlightRequests)
    InFlight.push_back(Entry.first);
  for (size_t Sequence : InFlight) {
    this->Exec.cancel(this->InFlightRequests.at(Sequence).Timer);
    this->Client.cancel(this->InFlightRequests.at(Sequence).Call);
    this->finishRequest(Sequence,
                        {Outcome::Unfinished, "may_have_run", {}, {}});
  }
}

} // namespace vanillayard
