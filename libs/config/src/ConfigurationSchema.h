#ifndef VANILLAYARD_CONFIG_CONFIGURATIONSCHEMA_H
#define VANILLAYARD_CONFIG_CONFIGURATIONSCHEMA_H

namespace vanillayard {

/// JSON Schema of the operators' configuration.
extern const char ConfigurationSchemaText[];
/// JSON Schema of the settings of a daemon.
extern const char SettingsSchemaText[];

} // namespace vanillayard

#endif
