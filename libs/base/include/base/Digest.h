#ifndef VANILLAYARD_BASE_DIGEST_H
#define VANILLAYARD_BASE_DIGEST_H

#include <string>
#include <string_view>

namespace vanillayard {

/// SHA-256 of \p Data as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view Data);

} // namespace vanillayard

#endif
