#ifndef VANILLAYARD_CONFIG_CONFIGURATIONDIFF_H
#define VANILLAYARD_CONFIG_CONFIGURATIONDIFF_H

#include <string>
#include <vector>

namespace vanillayard {

struct Configuration;

/// The difference of two configurations, in a form for operators.
class ConfigurationDiff {
public:
  /// Returns one line for each difference: "~ PATH: OLD -> NEW",
  /// "+ PATH: NEW" or "- PATH: OLD". Accounts, kinds, presets and guarantees
  /// are matched by name or shape, so their order makes no difference.
  /// The generation is not compared.
  static std::vector<std::string> compare(const Configuration &From,
                                          const Configuration &To);
};

} // namespace vanillayard

#endif
