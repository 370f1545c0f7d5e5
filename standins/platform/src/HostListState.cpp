#include "standin_platform/HostListState.h"

#include "GatewayJson.h"

namespace vanillayard {

using nlohmann::json;

HostListState::HostListState(const Executor &Exec, absl::Duration Lag)
    : Exec(Exec), Lag(Lag) {
  this->Entries.push_back({absl::InfinitePast(), "[]"});
}

static absl::Status checkHost(const json &Host) {
  for (const char *Name : {"name", "data_centre", "address"})
    if (textOf(Host, Name).empty())
      return absl::InvalidArgumentError(
          std::string("hosts: an entry lacks the property ") + Name);
  std::string Role = textOf(Host, "role");
  std::string State = textOf(Host, "state");
  if ((Role != "entry" && Role != "worker") ||
      (State != "live" && State != "leaving"))
    return absl::InvalidArgumentError(
        "hosts: role must be entry or worker, and state live or leaving");
  return absl::OkStatus();
}

absl::Status HostListState::put(std::string_view Text) {
  json Document = json::parse(Text, nullptr, /*allow_exceptions=*/false);
  if (!Document.is_object() || !Document.contains("hosts") ||
      !Document["hosts"].is_array())
    return absl::InvalidArgumentError(
        "the body must be a JSON object with an array 'hosts'");
  for (const json &Host : Document["hosts"]) {
    absl::Status Status = checkHost(Host);
    if (!Status.ok())
      return Status;
  }
  this->Entries.push_back({this->Exec.now(), Document["hosts"].dump()});
  return absl::OkStatus();
}

std::string HostListState::get() {
  absl::Time Limit = this->Exec.now() - this->Lag;
  while (this->Entries.size() > 1 && this->Entries[1].Since <= Limit)
    this->Entries.pop_front();
  return "{\"generated_ms\":" + std::to_string(absl::ToUnixMillis(Limit)) +
         ",\"hosts\":" + this->Entries.front().Hosts + "}";
}

} // namespace vanillayard
