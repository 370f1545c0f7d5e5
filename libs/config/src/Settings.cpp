#include "config/Settings.h"

#include "ConfigurationSchema.h"
#include "EndpointCheck.h"
#include "JsonSchema.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

using nlohmann::json;

static constexpr size_t MaxSettingsBytes = 1 << 20;

// Returns a section of the document, or an empty object if it is missing.
static json sectionOf(const json &Document, const char *Name) {
  return Document.contains(Name) ? Document[Name] : json::object();
}

static std::string textOf(const json &Object, const char *Name) {
  return Object.value(Name, std::string());
}

static void readMilliseconds(const json &Object, const char *Name,
                             absl::Duration &Value) {
  Value =
      absl::Milliseconds(Object.value(Name, absl::ToInt64Milliseconds(Value)));
}

template <typename Enum, size_t Count>
static void readChoice(const json &Object, const char *Name,
                       const EnumNames<Enum, Count> &Names, Enum &Value) {
  if (Object.contains(Name))
    Value = Names.parse(textOf(Object, Name)).value_or(Value);
}

static Settings settingsFromJson(const json &Document) {
  Settings Result;
  Result.Host = HostId(textOf(Document, "host"));
  Result.DataCentre = DataCentreId(textOf(Document, "data_centre"));
  Result.Region = textOf(Document, "region");
  json Listen = sectionOf(Document, "listen");
  Result.CallerListen = Endpoint(textOf(Listen, "caller"));
  Result.AdminListen = Endpoint(textOf(Listen, "admin"));
  Result.PeerListen = Endpoint(textOf(Listen, "peer"));
  Result.PeerAdvertise = Endpoint(textOf(Document, "peer_advertise"));
  if (Document.contains("seed_peers"))
    for (const json &Peer : Document["seed_peers"])
      Result.SeedPeers.emplace_back(Peer.get<std::string>());
  json Platform = sectionOf(Document, "platform");
  Result.PlatformKeyValue = Endpoint(textOf(Platform, "key_value"));
  Result.PlatformHostList = Endpoint(textOf(Platform, "host_list"));
  readMilliseconds(Platform, "timeout_ms", Result.PlatformTimeout);
  readMilliseconds(Platform, "host_list_interval_ms", Result.HostListInterval);
  Result.ControlBytesPerSecond =
      sectionOf(Document, "budgets")
          .value("control_bytes_per_second", Result.ControlBytesPerSecond);
  json Bounds = sectionOf(Document, "limits");
  Result.MaxBodyBytes = Bounds.value("max_body_bytes", Result.MaxBodyBytes);
  readMilliseconds(Bounds, "request_timeout_ms", Result.RequestTimeout);
  readMilliseconds(Bounds, "shutdown_grace_ms", Result.ShutdownGrace);
  readMilliseconds(Bounds, "lease_ttl_ms", Result.LeaseTtl);
  readMilliseconds(Bounds, "poll_interval_ms", Result.PollInterval);
  readMilliseconds(Bounds, "spill_over_delay_ms", Result.SpillOverDelay);
  json Policy = sectionOf(Document, "policy");
  readChoice(Policy, "queue", QueueChoiceNames, Result.Queue);
  readChoice(Policy, "worker_selection", WorkerSelectionChoiceNames,
             Result.WorkerSelection);
  readChoice(Policy, "placement", PlacementChoiceNames, Result.Placement);
  readChoice(Policy, "retry", RetryChoiceNames, Result.Retry);
  readChoice(Document, "log_level", LogLevelNames, Result.MinimumLogLevel);
  return Result;
}

static void checkEndpoint(const char *Path, const Endpoint &Value, int MinPort,
                          std::vector<std::string> &Errors) {
  if (!isIpEndpoint(Value.str(), MinPort))
    Errors.push_back(
        fmt::format("{}: is \"{}\"; must be an IP address and port from {} to "
                    "65535",
                    Path, Value.str(), MinPort));
}

static std::vector<std::string> checkEndpoints(const Settings &Value) {
  std::vector<std::string> Errors;
  checkEndpoint("listen.caller", Value.CallerListen, 0, Errors);
  checkEndpoint("listen.admin", Value.AdminListen, 0, Errors);
  checkEndpoint("listen.peer", Value.PeerListen, 0, Errors);
  if (!Value.PeerAdvertise.empty())
    checkEndpoint("peer_advertise", Value.PeerAdvertise, 1, Errors);
  for (size_t I = 0; I < Value.SeedPeers.size(); ++I)
    checkEndpoint(fmt::format("seed_peers[{}]", I).c_str(), Value.SeedPeers[I],
                  1, Errors);
  checkEndpoint("platform.key_value", Value.PlatformKeyValue, 1, Errors);
  checkEndpoint("platform.host_list", Value.PlatformHostList, 1, Errors);
  return Errors;
}

absl::StatusOr<Settings> Settings::parse(std::string_view Text) {
  static const JsonSchema Schema(SettingsSchemaText);
  absl::StatusOr<json> Document = parseJson(Text, MaxSettingsBytes);
  if (!Document.ok())
    return Document.status();
  absl::Status Status = errorsToStatus(Schema.check(*Document));
  if (!Status.ok())
    return Status;
  Settings Result = settingsFromJson(*Document);
  Status = errorsToStatus(checkEndpoints(Result));
  if (!Status.ok())
    return Status;
  return Result;
}

template <typename Enum, size_t Count>
static std::string nameIn(const EnumNames<Enum, Count> &Names, Enum Value) {
  return std::string(Names.nameOf(Value));
}

static json limitsToJson(const Settings &Value) {
  return {
      {"max_body_bytes", Value.MaxBodyBytes},
      {"request_timeout_ms", absl::ToInt64Milliseconds(Value.RequestTimeout)},
      {"shutdown_grace_ms", absl::ToInt64Milliseconds(Value.ShutdownGrace)},
      {"lease_ttl_ms", absl::ToInt64Milliseconds(Value.LeaseTtl)},
      {"poll_interval_ms", absl::ToInt64Milliseconds(Value.PollInterval)},
      {"spill_over_delay_ms", absl::ToInt64Milliseconds(Value.SpillOverDelay)}};
}

std::string Settings::format() const {
  json Document = {
      {"host", this->Host.str()},
      {"data_centre", this->DataCentre.str()},
      {"region", this->Region},
      {"listen",
       {{"caller", this->CallerListen.str()},
        {"admin", this->AdminListen.str()},
        {"peer", this->PeerListen.str()}}},
      {"platform",
       {{"key_value", this->PlatformKeyValue.str()},
        {"host_list", this->PlatformHostList.str()},
        {"timeout_ms", absl::ToInt64Milliseconds(this->PlatformTimeout)},
        {"host_list_interval_ms",
         absl::ToInt64Milliseconds(this->HostListInterval)}}},
      {"budgets", {{"control_bytes_per_second", this->ControlBytesPerSecond}}},
      {"limits", limitsToJson(*this)},
      {"policy",
       {{"queue", nameIn(QueueChoiceNames, this->Queue)},
        {"worker_selection",
         nameIn(WorkerSelectionChoiceNames, this->WorkerSelection)},
        {"placement", nameIn(PlacementChoiceNames, this->Placement)},
        {"retry", nameIn(RetryChoiceNames, this->Retry)}}},
      {"log_level", nameIn(LogLevelNames, this->MinimumLogLevel)}};
  if (!this->PeerAdvertise.empty())
    Document["peer_advertise"] = this->PeerAdvertise.str();
  json Seeds = json::array();
  for (const Endpoint &Peer : this->SeedPeers)
    Seeds.push_back(Peer.str());
  Document["seed_peers"] = std::move(Seeds);
  return Document.dump(2, ' ', true, json::error_handler_t::replace) + "\n";
}

} // namespace vanillayard
