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
using Faults = std::vector<std::string>;

static constexpr int AcceleratorsPerWorker = 8;

template <typename T>
static void checkNames(const std::vector<T> &List, const char *Path,
                       Faults &Found) {
  absl::flat_hash_set<std::string> Names;
  for (size_t I = 0; I < List.size(); ++I)
    if (!Names.insert(List[I].Name.str()).second)
      Found.push_back(fmt::format("{}[{}].name: \"{}\" is used twice", Path, I,
                                  List[I].Name.str()));
}

static void checkGuarantees(const ClientAccount &Account,
                            const std::string &Path, Faults &Found) {
  absl::flat_hash_set<std::tuple<DataCentreId, int, int>> Shapes;
  int64_t Guaranteed = 0;
  for (size_t I = 0; I < Account.Guarantees.size(); ++I) {
    const GuaranteedCells &Cells = Account.Guarantees[I];
    bool IsMultiWorker = Cells.Workers > 1;
    int PerCell = IsMultiWorker ? Cells.Workers * AcceleratorsPerWorker
                                : Cells.AcceleratorsPerCell;
    Guaranteed += static_cast<int64_t>(PerCell) * Cells.Count;
    if (IsMultiWorker && Cells.AcceleratorsPerCell != AcceleratorsPerWorker)
      Found.push_back(fmt::format(
          "{}.guarantees[{}].accelerators_per_cell: is {}; must be {} "
          "accelerators for a cell of {} workers",
          Path, I, Cells.AcceleratorsPerCell, AcceleratorsPerWorker,
          Cells.Workers));
    if (!Shapes.insert({Cells.DataCentre, PerCell, Cells.Workers}).second)
      Found.push_back(fmt::format(
          "{}.guarantees[{}]: has the shape and data centre of an earlier one",
          Path, I));
  }
  if (Account.AcceleratorQuota > 0 && Account.AcceleratorQuota < Guaranteed)
    Found.push_back(
        fmt::format("{}.accelerator_quota: is {}; must be 0 or at least the {} "
                    "accelerators that are guaranteed",
                    Path, Account.AcceleratorQuota, Guaranteed));
}

static void checkPresets(const Configuration &Config, Faults &Found) {
  bool IsPresetKnown = false;
  for (size_t I = 0; I < Config.Presets.size(); ++I) {
    const Preset &Value = Config.Presets[I];
    IsPresetKnown |= Value.Name == Config.PresetInForce;
    for (const auto &[Kind, Weight] : Value.KindWeights)
      if (!Config.findKind(Kind))
        Found.push_back(fmt::format(
            "presets[{}].kind_weights.{}: is not the name of a kind", I,
            Kind.str()));
  }
  if (!IsPresetKnown)
    Found.push_back(
        fmt::format("preset_in_force: is \"{}\"; must be the name of a preset",
                    Config.PresetInForce.str()));
}

// Checks that a schema cannot express.
static Faults crossCheck(const Configuration &Config) {
  Faults Found;
  checkNames(Config.Accounts, "accounts", Found);
  checkNames(Config.Kinds, "kinds", Found);
  checkNames(Config.Presets, "presets", Found);
  for (size_t I = 0; I < Config.Accounts.size(); ++I)
    checkGuarantees(Config.Accounts[I], fmt::format("accounts[{}]", I), Found);
  checkPresets(Config, Found);
  return Found;
}

static absl::StatusOr<Configuration> decodeJson(const json &Document) {
  static const JsonSchema Schema(ConfigurationSchemaText);
  absl::Status Status = faultsToStatus(Schema.check(Document));
  if (!Status.ok())
    return Status;
  Configuration Config = configurationFromJson(Document);
  Status = faultsToStatus(crossCheck(Config));
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
