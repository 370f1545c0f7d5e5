#ifndef VANILLAYARD_CONFIGSYNC_TESTS_SAMPLECONFIGURATION_H
#define VANILLAYARD_CONFIGSYNC_TESTS_SAMPLECONFIGURATION_H

#include "config/Configuration.h"
#include "config/ConfigurationCodec.h"

#include <string>

namespace vanillayard {

/// A small valid configuration with presets "ordinary", "peak" and
/// "maintenance".
inline Configuration sampleConfiguration(int64_t Generation,
                                         const std::string &Preset) {
  Configuration Config;
  Config.Generation = Generation;
  Config.PresetInForce = PresetId(Preset);
  Config.Accounts.emplace_back().Name = ClientAccountId("kalahari");
  Config.Kinds.emplace_back().Name = KindOfWorkId("price-check");
  for (const char *Name : {"ordinary", "peak", "maintenance"})
    Config.Presets.emplace_back().Name = PresetId(Name);
  return Config;
}

/// The document of sampleConfiguration() as the store holds it.
inline std::string sampleDocument(int64_t Generation,
                                  const std::string &Preset) {
  return ConfigurationCodec::encode(sampleConfiguration(Generation, Preset));
}

} // namespace vanillayard

#endif
