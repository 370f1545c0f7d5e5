#ifndef VANILLAYARD_BASE_ABSLVIEW_H
#define VANILLAYARD_BASE_ABSLVIEW_H

#include "absl/strings/string_view.h"

#include <string_view>

namespace vanillayard {

/// Converts a std::string_view for Abseil. The packaged build of Abseil has a
/// string_view type of its own without an implicit conversion.
inline absl::string_view abslView(std::string_view View) {
  return absl::string_view(View.data(), View.size());
}

/// Converts an Abseil view to a std::string_view.
inline std::string_view stdView(absl::string_view View) {
  return std::string_view(View.data(), View.size());
}

} // namespace vanillayard

#endif
