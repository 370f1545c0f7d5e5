#ifndef VANILLAYARD_CONFIG_JSONSCHEMA_H
#define VANILLAYARD_CONFIG_JSONSCHEMA_H

#include "absl/status/statusor.h"

#include <nlohmann/json_fwd.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// A JSON Schema whose validation errors name the path to the value, the bound
/// and the unit.
///
/// Two extension keywords provide texts for the errors: "x-unit" is the unit
/// of a number, and "x-rule" describes in words what a string must be.
class JsonSchema {
public:
  /// \param Text a schema that is part of the program; it must be valid.
  explicit JsonSchema(std::string_view Text);
  ~JsonSchema();

  /// Returns one line for each validation error of \p Document.
  std::vector<std::string> check(const nlohmann::json &Document) const;

private:
  class Impl;
  std::unique_ptr<Impl> Implementation;
};

/// Parses JSON. Error: InvalidRequest if the text is not JSON, is longer than
/// \p MaxBytes, or has an object with a duplicate property.
absl::StatusOr<nlohmann::json> parseJson(std::string_view Text,
                                         size_t MaxBytes);

/// Returns an InvalidRequest error with one line for each of \p Errors, or OK
/// if there are none.
absl::Status errorsToStatus(const std::vector<std::string> &Errors);

} // namespace vanillayard

#endif
