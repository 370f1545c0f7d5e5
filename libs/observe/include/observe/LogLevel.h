#ifndef VANILLAYARD_OBSERVE_LOGLEVEL_H
#define VANILLAYARD_OBSERVE_LOGLEVEL_H

#include "base/EnumNames.h"

namespace vanillayard {

enum class LogLevel { Debug, Info, Warning, Error };

inline constexpr EnumNames<LogLevel, 4>
    LogLevelNames({{{LogLevel::Debug, "debug"},
                    {LogLevel::Info, "info"},
                    {LogLevel::Warning, "warning"},
                    {LogLevel::Error, "error"}}});

} // namespace vanillayard

#endif
