#ifndef VANILLAYARD_CONFIG_CONFIGURATIONCODEC_H
#define VANILLAYARD_CONFIG_CONFIGURATIONCODEC_H

#include "config/Configuration.h"

#include "absl/status/statusor.h"

#include <string>
#include <string_view>

namespace vanillayard {

/// Decodes and encodes the JSON document of the operators' configuration.
class ConfigurationCodec {
public:
  /// Maximum size of a document in bytes. The platform's key-value service
  /// holds values of up to 1 MB.
  static constexpr size_t MaxDocumentBytes = 1000000;

  /// Parses and validates a document.
  ///
  /// Error: InvalidRequest. Its message has one line for each invalid value,
  /// with the path to the value, the bound and the unit.
  static absl::StatusOr<Configuration> decode(std::string_view Text);

  /// Returns a document from which decode() restores \p Config. It holds all
  /// values, also those that equal their default.
  static std::string encode(const Configuration &Config);

  /// Checks a configuration that was not made by decode(). Error: as for
  /// decode().
  static absl::Status validate(const Configuration &Config);
};

} // namespace vanillayard

#endif
