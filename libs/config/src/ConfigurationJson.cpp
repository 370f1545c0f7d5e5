#include "ConfigurationJson.h"

#include "base/EnumNames.h"
#include "config/Configuration.h"

#include <string>
#include <utility>

namespace vanillayard {

using nlohmann::json;

static constexpr EnumNames<Urgency, 3>
    UrgencyNames({{{Urgency::Urgent, "urgent"},
                   {Urgency::Normal, "normal"},
                   {Urgency::Deferrable, "deferrable"}}});

static std::string textOf(const json &Object, const char *Name) {
  return Object.value(Name, std::string());
}

static absl::Duration millisecondsOf(const json &Object, const char *Name,
                                     absl::Duration Default) {
  return absl::Milliseconds(
      Object.value(Name, absl::ToInt64Milliseconds(Default)));
}

static json guaranteeToJson(const GuaranteedCells &Cells) {
  return {{"data_centre", Cells.DataCentre.str()},
          {"accelerators_per_cell", Cells.AcceleratorsPerCell},
          {"workers", Cells.Workers},
          {"count", Cells.Count}};
}

static GuaranteedCells guaranteeFromJson(const json &Object) {
  GuaranteedCells Cells;
  Cells.DataCentre = DataCentreId(textOf(Object, "data_centre"));
  Cells.AcceleratorsPerCell =
      Object.value("accelerators_per_cell", Cells.AcceleratorsPerCell);
  Cells.Workers = Object.value("workers", Cells.Workers);
  Cells.Count = Object.value("count", Cells.Count);
  return Cells;
}

static json accountToJson(const ClientAccount &Account) {
  json Guarantees = json::array();
  for (const GuaranteedCells &Cells : Account.Guarantees)
    Guarantees.push_back(guaranteeToJson(Cells));
  return {{"name", Account.Name.str()},
          {"weight", Account.Weight},
          {"accelerator_quota", Account.AcceleratorQuota},
          {"max_queued", Account.MaxQueued},
          {"guarantees", std::move(Guarantees)}};
}

static ClientAccount accountFromJson(const json &Object) {
  ClientAccount Account;
  Account.Name = ClientAccountId(textOf(Object, "name"));
  Account.Weight = Object.value("weight", Account.Weight);
  Account.AcceleratorQuota =
      Object.value("accelerator_quota", Account.AcceleratorQuota);
  Account.MaxQueued = Object.value("max_queued", Account.MaxQueued);
  if (Object.contains("guarantees"))
    for (const json &Cells : Object["guarantees"])
      Account.Guarantees.push_back(guaranteeFromJson(Cells));
  return Account;
}

static json kindToJson(const KindOfWork &Kind) {
  return {
      {"name", Kind.Name.str()},
      {"urgency", std::string(UrgencyNames.nameOf(Kind.UrgencyLevel))},
      {"default_deadline_ms", absl::ToInt64Milliseconds(Kind.DefaultDeadline)},
      {"repeatable_by_default", Kind.RepeatableByDefault}};
}

static KindOfWork kindFromJson(const json &Object) {
  KindOfWork Kind;
  Kind.Name = KindOfWorkId(textOf(Object, "name"));
  Kind.UrgencyLevel =
      UrgencyNames.parse(textOf(Object, "urgency")).value_or(Kind.UrgencyLevel);
  Kind.DefaultDeadline =
      millisecondsOf(Object, "default_deadline_ms", Kind.DefaultDeadline);
  Kind.RepeatableByDefault =
      Object.value("repeatable_by_default", Kind.RepeatableByDefault);
  return Kind;
}

static json presetToJson(const Preset &Value) {
  json Weights = json::object();
  for (const auto &[Kind, Weight] : Value.KindWeights)
    Weights[Kind.str()] = Weight;
  return {{"name", Value.Name.str()},
          {"kind_weights", std::move(Weights)},
          {"urgent_reserve", Value.UrgentReserve},
          {"borrowing", Value.Borrowing},
          {"spill_over", Value.SpillOver},
          {"admit_deferrable", Value.AdmitDeferrable}};
}

static Preset presetFromJson(const json &Object) {
  Preset Value;
  Value.Name = PresetId(textOf(Object, "name"));
  if (Object.contains("kind_weights"))
    for (const auto &[Kind, Weight] : Object["kind_weights"].items())
      Value.KindWeights[KindOfWorkId(Kind)] = Weight.get<double>();
  Value.UrgentReserve = Object.value("urgent_reserve", Value.UrgentReserve);
  Value.Borrowing = Object.value("borrowing", Value.Borrowing);
  Value.SpillOver = Object.value("spill_over", Value.SpillOver);
  Value.AdmitDeferrable =
      Object.value("admit_deferrable", Value.AdmitDeferrable);
  return Value;
}

static json limitsToJson(const Limits &Bounds) {
  return {{"max_body_bytes", Bounds.MaxBodyBytes},
          {"max_queued", Bounds.MaxQueued},
          {"retry_budget", Bounds.RetryBudget},
          {"reclaim_grace_ms", absl::ToInt64Milliseconds(Bounds.ReclaimGrace)},
          {"max_gang_wait_ms", absl::ToInt64Milliseconds(Bounds.MaxGangWait)}};
}

static Limits limitsFromJson(const json &Object) {
  Limits Bounds;
  Bounds.MaxBodyBytes = Object.value("max_body_bytes", Bounds.MaxBodyBytes);
  Bounds.MaxQueued = Object.value("max_queued", Bounds.MaxQueued);
  Bounds.RetryBudget = Object.value("retry_budget", Bounds.RetryBudget);
  Bounds.ReclaimGrace =
      millisecondsOf(Object, "reclaim_grace_ms", Bounds.ReclaimGrace);
  Bounds.MaxGangWait =
      millisecondsOf(Object, "max_gang_wait_ms", Bounds.MaxGangWait);
  return Bounds;
}

json configurationToJson(const Configuration &Config) {
  json Accounts = json::array();
  for (const ClientAccount &Account : Config.Accounts)
    Accounts.push_back(accountToJson(Account));
  json Kinds = json::array();
  for (const KindOfWork &Kind : Config.Kinds)
    Kinds.push_back(kindToJson(Kind));
  json Presets = json::array();
  for (const Preset &Value : Config.Presets)
    Presets.push_back(presetToJson(Value));
  return {{"generation", Config.Generation},
          {"preset_in_force", Config.PresetInForce.str()},
          {"accounts", std::move(Accounts)},
          {"kinds", std::move(Kinds)},
          {"presets", std::move(Presets)},
          {"limits", limitsToJson(Config.Bounds)}};
}

Configuration configurationFromJson(const json &Document) {
  Configuration Config;
  Config.Generation = Document.value("generation", Config.Generation);
  Config.PresetInForce = PresetId(textOf(Document, "preset_in_force"));
  for (const json &Account : Document["accounts"])
    Config.Accounts.push_back(accountFromJson(Account));
  for (const json &Kind : Document["kinds"])
    Config.Kinds.push_back(kindFromJson(Kind));
  for (const json &Value : Document["presets"])
    Config.Presets.push_back(presetFromJson(Value));
  if (Document.contains("limits"))
    Config.Bounds = limitsFromJson(Document["limits"]);
  return Config;
}

} // namespace vanillayard
