#include "daemon/JobApi.h"

#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "base/JsonText.h"
#include "daemon/JobLookup.h"
#include "jobs/JobService.h"
#include "net/ProblemDetails.h"

#include "absl/strings/numbers.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>
#include <set>

namespace vanillayard {

using Json = nlohmann::json;

static constexpr size_t MaxNameBytes = 256;
static constexpr int64_t MaxGangSize = 64;
static constexpr int64_t MaxAcceleratorsPerMember = 8;
static constexpr int64_t MaxDurationMs = int64_t{30} * 24 * 3600 * 1000;

static absl::Status invalid(std::string_view Detail) {
  return makeError(ErrorKind::InvalidRequest, Detail);
}

namespace {

/// Reads the fields of a JSON object and keeps the first error.
class JsonFieldReader {
public:
  explicit JsonFieldReader(const Json &Object) : Object(Object) {}

  std::string text(const char *Name, bool IsRequired, size_t MaxBytes) {
    auto Found = this->find(Name, IsRequired);
    if (Found == this->Object.end())
      return {};
    if (!Found->is_string())
      return this->fail(Name, "must be a string"), std::string();
    std::string Value = Found->get<std::string>();
    if (Value.size() > MaxBytes || (IsRequired && Value.empty()))
      this->fail(Name, fmt::format("must have 1 to {} bytes", MaxBytes));
    return Value;
  }

  int64_t number(const char *Name, int64_t Default, int64_t Low, int64_t High) {
    auto Found = this->find(Name, /*IsRequired=*/false);
    if (Found == this->Object.end())
      return Default;
    if (!Found->is_number_integer())
      return this->fail(Name, "must be an integer"), Default;
    int64_t Value = Found->get<int64_t>();
    if (Value < Low || Value > High)
      this->fail(Name,
                 fmt::format("is {}, it must be {} to {}", Value, Low, High));
    return Value;
  }

  bool flag(const char *Name) {
    auto Found = this->find(Name, /*IsRequired=*/false);
    if (Found == this->Object.end())
      return false;
    if (!Found->is_boolean())
      return this->fail(Name, "must be true or false"), false;
    return Found->get<bool>();
  }

  void fail(std::string_view Name, std::string_view Why) {
    if (this->Status.ok())
      this->Status = invalid(fmt::format("{} {}", Name, Why));
  }

  /// Returns the first error. A field that was never read is an error.
  absl::Status finish() {
    for (const auto &Item : this->Object.items())
      if (!this->Known.count(Item.key()))
        this->fail(Item.key(), "is not a field of a job");
    return this->Status;
  }

private:
  Json::const_iterator find(const char *Name, bool IsRequired) {
    this->Known.insert(Name);
    auto Found = this->Object.find(Name);
    if (Found == this->Object.end() && IsRequired)
      this->fail(Name, "is missing");
    return Found;
  }

  const Json &Object;
  std::set<std::string> Known;
  absl::Status Status;
};

} // namespace

static absl::Duration milliseconds(int64_t Value) {
  return absl::Milliseconds(Value);
}

absl::StatusOr<JobSpec> JobApi::parse(const std::string &Body) {
  Json Document = parseUntrustedJson(Body);
  if (!Document.is_object())
    return invalid("the body must be a JSON object");
  JsonFieldReader Reader(Document);
  JobSpec Spec;
  Spec.Account = ClientAccountId(Reader.text("account", true, MaxNameBytes));
  Spec.Caller = CallerId(Reader.text("caller", true, MaxNameBytes));
  Spec.Kind = KindOfWorkId(Reader.text("kind", true, MaxNameBytes));
  Spec.Repeatable = Reader.flag("repeatable");
  Spec.Checkpointable = Reader.flag("checkpointable");
  Spec.Shape.Members =
      static_cast<int>(Reader.number("gang_size", 1, 1, MaxGangSize));
  Spec.Shape.AcceleratorsPerMember = static_cast<int>(
      Reader.number("accelerators_per_member", 1, 1, MaxAcceleratorsPerMember));
  std::string AdjacencyName = Reader.text("adjacency", false, MaxNameBytes);
  if (!AdjacencyName.empty()) {
    std::optional<Adjacency> Parsed = AdjacencyNames.parse(AdjacencyName);
    if (Parsed)
      Spec.Shape.RequiredAdjacency = *Parsed;
    else
      Reader.fail("adjacency", "must be worker, rack or data_centre");
  }
  Spec.DeclaredRunTime =
      milliseconds(Reader.number("declared_run_time_ms", 0, 0, MaxDurationMs));
  Spec.Deadline =
      milliseconds(Reader.number("deadline_ms", 0, 0, MaxDurationMs));
  Spec.Body = Reader.text("body", false, Body.size());
  absl::Status Status = Reader.finish();
  if (!Status.ok())
    return Status;
  return Spec;
}

static Execution executionOf(const JobRecord &Record) {
  switch (Record.State) {
  case JobState::Queued:
  case JobState::NeverFits:
  case JobState::DeadlineExpired:
    return Execution::NotRun;
  case JobState::Finished:
  case JobState::Failed:
    return Execution::Ran;
  case JobState::Cancelled:
    return Record.MayHaveRun ? Execution::MayHaveRun : Execution::NotRun;
  case JobState::Placed:
  case JobState::Unresolved:
  case JobState::OutcomeUnknown:
    return Execution::MayHaveRun;
  }
  return Execution::MayHaveRun;
}

std::string JobApi::toJson(const JobRecord &Record) {
  Json Document = {
      {"id", Record.Id.str()},
      {"state", JobStateNames.nameOf(Record.State)},
      {"execution", nameOf(executionOf(Record))},
      {"account", Record.Spec.Account.str()},
      {"caller", Record.Spec.Caller.str()},
      {"kind", Record.Spec.Kind.str()},
      {"data_centre", Record.DataCentre.str()},
      {"gang_size", Record.Spec.Shape.Members},
      {"accelerators_per_member", Record.Spec.Shape.AcceleratorsPerMember},
      {"adjacency", AdjacencyNames.nameOf(Record.Spec.Shape.RequiredAdjacency)},
      {"attempts", Record.Attempts},
      {"submitted_ms", absl::ToUnixMillis(Record.Submitted)},
      {"cancel_requested", Record.CancelRequested},
      {"detail", Record.Detail},
      {"placement", Json::array()}};
  for (const MemberLease &Member : Record.Placement)
    Document["placement"].push_back({{"worker", Member.Worker.str()},
                                     {"accelerators", Member.Accelerators}});
  if (Record.State == JobState::Finished) {
    Document["results"] = Record.Results;
    Document["results_omitted"] = Record.ResultsOmitted;
  }
  return Document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

JobApi::JobApi(JobService &Jobs, JobLookup &Lookup, HostId Host,
               int64_t Incarnation)
    : Jobs(Jobs), Lookup(Lookup),
      KeyPrefix(fmt::format("{}/{}/{}", Host.str(), Incarnation,
                            std::random_device()())) {}

std::string JobApi::generateIdempotencyKey() {
  return "generated-" +
         sha256Hex(fmt::format("{}/{}", this->KeyPrefix, this->NextKey++));
}

static HttpResponse jobResponse(int Status, const JobRecord &Record) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Headers.add("Location", "/v1/jobs/" + Record.Id.str());
  Response.Body = JobApi::toJson(Record);
  return Response;
}

void JobApi::handle(const HttpRequest &Request,
                    const std::shared_ptr<HttpResponder> &Responder) {
  std::string_view Path = Request.Path;
  bool IsJobPath = Path.starts_with(PathPrefix);
  if (IsJobPath)
    Path.remove_prefix(PathPrefix.size());
  if (IsJobPath && Path.empty() && Request.Method == "POST")
    return this->submit(Request, Responder);
  if (IsJobPath && Path.size() > 1 && Path.front() == '/') {
    Path.remove_prefix(1);
    constexpr std::string_view CancelSuffix = "/cancel";
    bool IsCancel = Path.ends_with(CancelSuffix);
    if (IsCancel)
      Path.remove_suffix(CancelSuffix.size());
    JobId Id{std::string(Path)};
    if (IsCancel && Request.Method == "POST")
      return this->cancel(Id, Responder);
    if (!IsCancel && Request.Method == "GET")
      return this->get(Id, Request, Responder);
  }
  Responder->respond(problemResponse(
      makeError(ErrorKind::NotFound, "there is no such resource")));
}

void JobApi::submit(const HttpRequest &Request,
                    const std::shared_ptr<HttpResponder> &Responder) {
  absl::StatusOr<JobSpec> Spec = parse(Request.Body);
  std::string Key(Request.Headers.get("Idempotency-Key"));
  if (Spec.ok() && Key.size() > MaxNameBytes)
    Spec = invalid(
        fmt::format("Idempotency-Key is longer than {} bytes", MaxNameBytes));
  if (!Spec.ok()) {
    Responder->respond(problemResponse(Spec.status()));
    return;
  }
  this->Jobs.submit(*Spec, Key.empty() ? this->generateIdempotencyKey() : Key,
                    [Responder](absl::StatusOr<StoredJob> Job) {
                      Responder->respond(Job.ok()
                                             ? jobResponse(202, Job->Record)
                                             : problemResponse(Job.status()));
                    });
}

void JobApi::get(const JobId &Id, const HttpRequest &Request,
                 const std::shared_ptr<HttpResponder> &Responder) {
  int64_t WaitMs = 0;
  std::string Text = Request.queryValue("wait_ms");
  if (!Text.empty() &&
      (!absl::SimpleAtoi(Text, &WaitMs) || WaitMs < 0 || WaitMs > MaxWaitMs)) {
    Responder->respond(problemResponse(
        invalid(fmt::format("wait_ms must be 0 to {} ms", MaxWaitMs))));
    return;
  }
  uint64_t CallId = this->NextCallId++;
  this->WaitingCalls.emplace(CallId, std::make_pair(Id, Responder));
  this->Jobs.get(Id, absl::Milliseconds(WaitMs),
                 [this, Id, CallId, Responder](absl::StatusOr<StoredJob> Job) {
                   this->WaitingCalls.erase(CallId);
                   if (Job.ok())
                     Responder->respond(jobResponse(200, Job->Record));
                   else
                     this->askPlanners(Id, Job.status(), Responder);
                 });
}

void JobApi::askPlanners(const JobId &Id, const absl::Status &Failure,
                         const std::shared_ptr<HttpResponder> &Responder) {
  if (errorKindOf(Failure) != ErrorKind::PlatformUnavailable) {
    Responder->respond(problemResponse(Failure));
    return;
  }
  this->Lookup.find(Id, [Responder, Failure](absl::StatusOr<JobRecord> Record) {
    Responder->respond(Record.ok() ? jobResponse(200, *Record)
                                   : problemResponse(Failure));
  });
}

void JobApi::cancel(const JobId &Id,
                    const std::shared_ptr<HttpResponder> &Responder) {
  this->Jobs.cancel(Id, [Responder](absl::StatusOr<StoredJob> Job) {
    Responder->respond(Job.ok() ? jobResponse(200, Job->Record)
                                : problemResponse(Job.status()));
  });
}

void JobApi::answerWaitingCalls() {
  auto Calls = std::move(this->WaitingCalls);
  this->WaitingCalls.clear();
  for (const auto &Entry : Calls) {
    const auto &[Id, WeakResponder] = Entry.second;
    std::shared_ptr<HttpResponder> Responder = WeakResponder.lock();
    if (!Responder)
      continue;
    this->Jobs.get(
        Id, absl::ZeroDuration(), [Responder](absl::StatusOr<StoredJob> Job) {
          Responder->respond(Job.ok() ? jobResponse(200, Job->Record)
                                      : problemResponse(Job.status()));
        });
  }
}

} // namespace vanillayard
