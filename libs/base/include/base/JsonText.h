#ifndef VANILLAYARD_BASE_JSONTEXT_H
#define VANILLAYARD_BASE_JSONTEXT_H

#include <nlohmann/json_fwd.hpp>

#include <string_view>

namespace vanillayard {

/// Deepest nesting of arrays and objects that is accepted in JSON from outside
/// the process. The documents of the product and of the platform nest at most
/// 6 deep. Copying or printing a value recurses once for each level, and each
/// level takes many times the memory of its text.
inline constexpr int MaxJsonDepth = 32;

/// Whether arrays and objects in \p Text nest deeper than \p MaxDepth. Takes
/// time linear in the length and does not allocate. \p Text need not be valid
/// JSON.
bool nestsDeeperThan(std::string_view Text, int MaxDepth);

/// Parses JSON from outside the process. Returns a discarded value if \p Text
/// is malformed or nests deeper than MaxJsonDepth.
nlohmann::json parseUntrustedJson(std::string_view Text);

} // namespace vanillayard

#endif
