#ifndef VANILLAYARD_CONFIG_CONFIGURATIONJSON_H
#define VANILLAYARD_CONFIG_CONFIGURATIONJSON_H

#include <nlohmann/json.hpp>

namespace vanillayard {

struct Configuration;

nlohmann::json configurationToJson(const Configuration &Config);

/// \param Document must satisfy the schema of the configuration.
Configuration configurationFromJson(const nlohmann::json &Document);

} // namespace vanillayard

#endif
