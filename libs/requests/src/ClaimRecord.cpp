#include "requests/ClaimRecord.h"

#include "base/AbslView.h"
#include "base/ErrorKind.h"
#include "base/JsonText.h"

#include "absl/strings/escaping.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

std::string ClaimRecord::toJson() const {
  nlohmann::json Json = {
      {"digest", this->Digest},
      {"request", this->Request.str()},
      {"worker", this->Worker.str()},
      {"address", this->Address.str()},
      {"lease", this->Lease.str()},
      {"state", std::string(ClaimStateNames.nameOf(this->State))}};
  // Answers are arbitrary bytes, which a JSON string cannot hold.
  if (this->Answer)
    Json["answer"] = absl::Base64Escape(abslView(*this->Answer));
  return Json.dump();
}

static bool readString(const nlohmann::json &Json, const char *Name,
                       std::string &Out) {
  auto Found = Json.find(Name);
  if (Found == Json.end() || !Found->is_string())
    return false;
  Out = Found->get<std::string>();
  return true;
}

absl::StatusOr<ClaimRecord> ClaimRecord::fromJson(const std::string &Text) {
  absl::Status Malformed =
      makeError(ErrorKind::OutcomeUnknown, "the claim record is malformed");
  nlohmann::json Json = parseUntrustedJson(Text);
  if (!Json.is_object())
    return Malformed;
  ClaimRecord Record;
  std::string Request, Worker, Address, Lease, State, Encoded, Answer;
  if (!readString(Json, "digest", Record.Digest) ||
      !readString(Json, "request", Request) ||
      !readString(Json, "worker", Worker) ||
      !readString(Json, "address", Address) ||
      !readString(Json, "lease", Lease) || !readString(Json, "state", State))
    return Malformed;
  auto Parsed = ClaimStateNames.parse(State);
  if (!Parsed)
    return Malformed;
  Record.Request = RequestId(Request);
  Record.Worker = WorkerId(Worker);
  Record.Address = Endpoint(Address);
  Record.Lease = LeaseId(Lease);
  Record.State = *Parsed;
  if (readString(Json, "answer", Encoded)) {
    if (!absl::Base64Unescape(abslView(Encoded), &Answer))
      return Malformed;
    Record.Answer = Answer;
  }
  return Record;
}

} // namespace vanillayard
