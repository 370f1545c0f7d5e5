#include "jobs/JobRecord.h"

#include "base/Digest.h"
#include "base/ErrorKind.h"
#include "base/JsonText.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;

static int64_t toMs(absl::Duration Value) {
  return absl::ToInt64Milliseconds(Value);
}

static Json encodeSpec(const JobSpec &Spec) {
  return Json{
      {"account", Spec.Account.str()},
      {"caller", Spec.Caller.str()},
      {"kind", Spec.Kind.str()},
      {"repeatable", Spec.Repeatable},
      {"checkpointable", Spec.Checkpointable},
      {"gang_size", Spec.Shape.Members},
      {"accelerators_per_member", Spec.Shape.AcceleratorsPerMember},
      {"adjacency", AdjacencyNames.nameOf(Spec.Shape.RequiredAdjacency)},
      {"declared_run_time_ms", toMs(Spec.DeclaredRunTime)},
      {"deadline_ms", toMs(Spec.Deadline)},
      {"body", Spec.Body}};
}

static Json encodeMember(const MemberLease &Member) {
  return Json{{"worker", Member.Worker.str()},
              {"address", Member.Address.str()},
              {"lease", Member.Lease.str()},
              {"accelerators", Member.Accelerators}};
}

// Bodies and results are arbitrary bytes. Invalid UTF-8 is replaced, because
// dump() would throw otherwise.
static std::string dump(const Json &Value) {
  return Value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string JobRecord::encode() const {
  Json Members = Json::array();
  for (const MemberLease &Member : this->Placement)
    Members.push_back(encodeMember(Member));
  Json Value{{"id", this->Id.str()},
             {"spec", encodeSpec(this->Spec)},
             {"digest", this->RequestDigest},
             {"state", JobStateNames.nameOf(this->State)},
             {"data_centre", this->DataCentre.str()},
             {"submitted_ms", absl::ToUnixMillis(this->Submitted)},
             {"cancel_requested", this->CancelRequested},
             {"attempts", this->Attempts},
             {"failures", this->Failures},
             {"epoch_term", this->PlannerEpoch.Term},
             {"epoch_host", this->PlannerEpoch.Holder.str()},
             {"placement", std::move(Members)},
             {"results", this->Results},
             {"results_omitted", this->ResultsOmitted},
             {"may_have_run", this->MayHaveRun},
             {"detail", this->Detail}};
  return dump(Value);
}

namespace {

/// Reads the fields of a JSON object. ok() is false once a field was missing
/// or had the wrong type.
class FieldReader {
public:
  explicit FieldReader(const Json &Object) : Object(Object) {
    this->Ok = Object.is_object();
  }

  bool ok() const { return this->Ok; }

  std::string text(const char *Name) {
    const Json *Field = this->find(Name);
    return this->check(Field && Field->is_string()) ? Field->get<std::string>()
                                                    : std::string();
  }
  int64_t number(const char *Name) {
    const Json *Field = this->find(Name);
    return this->check(Field && Field->is_number_integer())
               ? Field->get<int64_t>()
               : 0;
  }
  bool flag(const char *Name) {
    const Json *Field = this->find(Name);
    return this->check(Field && Field->is_boolean()) && Field->get<bool>();
  }
  const Json &child(const char *Name) {
    static const Json Null;
    const Json *Field = this->find(Name);
    return this->check(Field != nullptr) ? *Field : Null;
  }

private:
  const Json *find(const char *Name) const {
    if (!this->Object.is_object())
      return nullptr;
    auto Found = this->Object.find(Name);
    return Found == this->Object.end() ? nullptr : &*Found;
  }
  bool check(bool Holds) {
    this->Ok = this->Ok && Holds;
    return Holds;
  }

  const Json &Object;
  bool Ok = true;
};

} // namespace

static bool decodeSpec(const Json &Value, JobSpec &Spec) {
  FieldReader Read(Value);
  Spec.Account = ClientAccountId(Read.text("account"));
  Spec.Caller = CallerId(Read.text("caller"));
  Spec.Kind = KindOfWorkId(Read.text("kind"));
  Spec.Repeatable = Read.flag("repeatable");
  Spec.Checkpointable = Read.flag("checkpointable");
  Spec.Shape.Members = static_cast<int>(Read.number("gang_size"));
  Spec.Shape.AcceleratorsPerMember =
      static_cast<int>(Read.number("accelerators_per_member"));
  auto RequiredAdjacency = AdjacencyNames.parse(Read.text("adjacency"));
  Spec.Shape.RequiredAdjacency = RequiredAdjacency.value_or(Adjacency::Rack);
  Spec.DeclaredRunTime =
      absl::Milliseconds(Read.number("declared_run_time_ms"));
  Spec.Deadline = absl::Milliseconds(Read.number("deadline_ms"));
  Spec.Body = Read.text("body");
  return Read.ok() && RequiredAdjacency.has_value();
}

static bool decodeMember(const Json &Value, MemberLease &Member) {
  FieldReader Read(Value);
  Member.Worker = WorkerId(Read.text("worker"));
  Member.Address = Endpoint(Read.text("address"));
  Member.Lease = LeaseId(Read.text("lease"));
  const Json &Indexes = Read.child("accelerators");
  if (!Read.ok() || !Indexes.is_array())
    return false;
  for (const Json &Index : Indexes) {
    if (!Index.is_number_integer())
      return false;
    Member.Accelerators.push_back(Index.get<int>());
  }
  return true;
}

static bool decodeLists(FieldReader &Read, JobRecord &Record) {
  const Json &Members = Read.child("placement");
  const Json &Results = Read.child("results");
  if (!Members.is_array() || !Results.is_array())
    return false;
  for (const Json &Value : Members) {
    Record.Placement.emplace_back();
    if (!decodeMember(Value, Record.Placement.back()))
      return false;
  }
  for (const Json &Value : Results) {
    if (!Value.is_string())
      return false;
    Record.Results.push_back(Value.get<std::string>());
  }
  return true;
}

absl::StatusOr<JobRecord> JobRecord::decode(std::string_view Text) {
  Json Value = parseUntrustedJson(Text);
  FieldReader Read(Value);
  JobRecord Record;
  Record.Id = JobId(Read.text("id"));
  Record.RequestDigest = Read.text("digest");
  auto State = JobStateNames.parse(Read.text("state"));
  Record.State = State.value_or(JobState::Queued);
  Record.DataCentre = DataCentreId(Read.text("data_centre"));
  Record.Submitted = absl::FromUnixMillis(Read.number("submitted_ms"));
  Record.CancelRequested = Read.flag("cancel_requested");
  Record.Attempts = static_cast<int>(Read.number("attempts"));
  Record.Failures = static_cast<int>(Read.number("failures"));
  Record.PlannerEpoch.Term = Read.number("epoch_term");
  Record.PlannerEpoch.Holder = HostId(Read.text("epoch_host"));
  Record.ResultsOmitted = Read.flag("results_omitted");
  Record.MayHaveRun = Read.flag("may_have_run");
  Record.Detail = Read.text("detail");
  if (!Read.ok() || !State || !decodeSpec(Read.child("spec"), Record.Spec) ||
      !decodeLists(Read, Record))
    return makeError(ErrorKind::Internal,
                     "the stored value is not a valid job record");
  return Record;
}

std::string JobRecord::keyOf(const JobId &Id) {
  return fmt::format("{}{}", KeyPrefix, Id.str());
}

std::string JobRecord::key() const {
  return keyOf(this->Id);
}

JobId JobRecord::deriveId(const ClientAccountId &Account,
                          std::string_view Key) {
  // The length prefix distinguishes ("ab", "c") from ("a", "bc").
  std::string Digest = sha256Hex(
      fmt::format("{}:{}{}", Account.str().size(), Account.str(), Key));
  return JobId(fmt::format("{}{}", IdPrefix, Digest.substr(0, 32)));
}

std::string JobRecord::digestOf(const JobSpec &Spec) {
  return sha256Hex(dump(encodeSpec(Spec)));
}

} // namespace vanillayard
