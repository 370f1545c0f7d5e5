#ifndef VANILLAYARD_CONFIG_CONFIGURATIONJSON_H
#define VANILLAYARD_CONFIG_CONFIGURATIONJSON_H

#include <nlohmann/json.hpp>

namespace vanillayard {

struct Configuration;

nlohmann::json configurationToJson(const Configuration &Config);

/// \param Document a document that the schema accepts.
Configuration configurationFromJson(const nlohmann::json &Document);

} // namespace vanillayard

#endif
