#ifndef VANILLAYARD_CONFIG_CONFIGURATIONDIFF_H
#define VANILLAYARD_CONFIG_CONFIGURATIONDIFF_H

#include <string>
#include <vector>

namespace vanillayard {

struct Configuration;

/// Formats the differences between two configurations for operators.
class ConfigurationDiff {
public:
  /// Returns one line for each difference: "~ PATH: OLD -> NEW",
  /// "+ PATH: NEW" or "- PATH: OLD". Accounts, kinds and presets are matched
  /// by name, guarantees by data centre and shape, so their order makes no
  /// difference. The generation is not compared.
  static std::vector<std::string> compare(const Configuration &From,
                                          const Configuration &To);
};

} // namespace vanillayard

#endif
