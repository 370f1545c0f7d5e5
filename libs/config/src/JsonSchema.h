#ifndef VANILLAYARD_CONFIG_JSONSCHEMA_H
#define VANILLAYARD_CONFIG_JSONSCHEMA_H

#include "absl/status/statusor.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// A JSON Schema that explains a fault by the path to the value, the bound and
/// the unit.
///
/// Two keywords of our own serve the explanation: "x-unit" is the unit of a
/// number, "x-rule" says in words what a string must be.
class JsonSchema {
public:
  /// \param Text a schema that is part of the program; it must be valid.
  explicit JsonSchema(std::string_view Text);
  ~JsonSchema();

  /// Returns one line for each fault of \p Document.
  std::vector<std::string> check(const nlohmann::json &Document) const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

/// Parses JSON. Error: InvalidRequest, if the text is not JSON, is longer than
/// \p MaxBytes, or has a property twice.
absl::StatusOr<nlohmann::json> parseJson(std::string_view Text,
                                         size_t MaxBytes);

/// Makes an InvalidRequest error of the faults, or OK if there are none.
absl::Status faultsToStatus(const std::vector<std::string> &Faults);

} // namespace vanillayard

#endif
