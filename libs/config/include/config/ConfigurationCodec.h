#ifndef VANILLAYARD_CONFIG_CONFIGURATIONCODEC_H
#define VANILLAYARD_CONFIG_CONFIGURATIONCODEC_H

#include "config/Configuration.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace vanillayard {

/// Converts the operators' configuration from and to its JSON document.
class ConfigurationCodec {
public:
  /// Longest document, in bytes. The platform's service holds values up to
  /// 1 MB.
  static constexpr size_t MaxDocumentBytes = 1000000;

  /// Parses and validates a document.
  ///
  /// Error: InvalidRequest. Its message has one line for each fault, which
  /// names the path to the value, the bound and the unit.
  static absl::StatusOr<Configuration> decode(std::string_view Text);

  /// Writes a document that decode() reads back unchanged. All values are
  /// written, also those that equal their default.
  static std::string encode(const Configuration &Config);

  /// Checks a configuration that was not made by decode(). Error as there.
  static absl::Status validate(const Configuration &Config);
};

} // namespace vanillayard

#endif
