#include "config/ConfigurationCodec.h"

#include "ConfigurationJson.h"
#include "ConfigurationSchema.h"
#include "JsonSchema.h"

#include "absl/container/flat_hash_set.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <tuple>
#include <utility>

namespace vanillayard {

using nlohmann::json;
using ErrorList = std::vector<std::string>;

static constexpr int AcceleratorsPerWorker = 8;

template <typename T>
static void checkUniqueNames(const std::vector<T> &List, const char *Path,
                             ErrorList &Errors) {
  absl::flat_hash_set<std::string> Names;
  for (size_t I = 0; I < List.size(); ++I)
    if (!Names.insert(List[I].Name.str()).second)
      Errors.push_back(fmt::format("{}[{}].name: \"{}\" is used twice", Path, I,
                                   List[I].Name.str()));
}

static void checkGuarantees(const ClientAccount &Account,
                            const std::string &Path, ErrorList &Errors) {
  absl::flat_hash_set<std::tuple<DataCentreId, int, int>> Shapes;
  int64_t Guaranteed = 0;
  for (size_t I = 0; I < Account.Guarantees.size(); ++I) {
    const GuaranteedCells &Cells = Account.Guarantees[I];
    bool IsMultiWorker = Cells.Workers > 1;
    int PerCell = IsMultiWorker ? Cells.Workers * AcceleratorsPerWorker
                                : Cells.AcceleratorsPerCell;
    Guaranteed += static_cast<int64_t>(PerCell) * Cells.Count;
    if (IsMultiWorker && Cells.AcceleratorsPerCell != AcceleratorsPerWorker)
      Errors.push_back(fmt::format(
          "{}.guarantees[{}].accelerators_per_cell: is {}; must be {} "
          "accelerators for a cell of {} workers",
          Path, I, Cells.AcceleratorsPerCell, AcceleratorsPerWorker,
          Cells.Workers));
    if (!Shapes.insert({Cells.DataCentre, PerCell, Cells.Workers}).second)
      Errors.push_back(fmt::format(
          "{}.guarantees[{}]: has the shape and data centre of an earlier one",
          Path, I));
  }
  if (Account.AcceleratorQuota > 0 && Account.AcceleratorQuota < Guaranteed)
    Errors.push_back(
        fmt::format("{}.accelerator_quota: is {}; must be 0 or at least the {} "
                    "accelerators that are guaranteed",
                    Path, Account.AcceleratorQuota, Guaranteed));
}

static void checkPresets(const Configuration &Config, ErrorList &Errors) {
  bool IsPresetKnown = false;
  for (size_t I = 0; I < Config.Presets.size(); ++I) {
    const Preset &Value = Config.Presets[I];
    IsPresetKnown |= Value.Name == Config.PresetInForce;
    for (const auto &[Kind, Weight] : Value.KindWeights)
      if (!Config.findKind(Kind))
        Errors.push_back(fmt::format(
            "presets[{}].kind_weights.{}: is not the name of a kind", I,
            Kind.str()));
  }
  if (!IsPresetKnown)
    Errors.push_back(
        fmt::format("preset_in_force: is \"{}\"; must be the name of a preset",
                    Config.PresetInForce.str()));
}

// Performs the checks that a JSON Schema cannot express.
static ErrorList checkConsistency(const Configuration &Config) {
  ErrorList Errors;
  checkUniqueNames(Config.Accounts, "accounts", Errors);
  checkUniqueNames(Config.Kinds, "kinds", Errors);
  checkUniqueNames(Config.Presets, "presets", Errors);
  for (size_t I = 0; I < Config.Accounts.size(); ++I)
    checkGuarantees(Config.Accounts[I], fmt::format("accounts[{}]", I), Errors);
  checkPresets(Config, Errors);
  return Errors;
}

static absl::StatusOr<Configuration> decodeJson(const json &Document) {
  static const JsonSchema Schema(ConfigurationSchemaText);
  absl::Status Status = errorsToStatus(Schema.check(Document));
  if (!Status.ok())
    return Status;
  Configuration Config = configurationFromJson(Document);
  Status = errorsToStatus(checkConsistency(Config));
  if (!Status.ok())
    return Status;
  return Config;
}

absl::StatusOr<Configuration>
ConfigurationCodec::decode(std::string_view Text) {
  absl::StatusOr<json> Document = parseJson(Text, MaxDocumentBytes);
  if (!Document.ok())
    return Document.status();
  return decodeJson(*Document);
}

std::string ConfigurationCodec::encode(const Configuration &Config) {
  return configurationToJson(Config).dump(2, ' ', true,
                                          json::error_handler_t::replace) +
         "\n";
}

absl::Status ConfigurationCodec::validate(const Configuration &Config) {
  return decode(encode(Config)).status();
}

} // namespace vanillayard
