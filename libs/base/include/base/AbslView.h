#ifndef VANILLAYARD_BASE_ABSLVIEW_H
#define VANILLAYARD_BASE_ABSLVIEW_H

#include "absl/strings/string_view.h"

#include <string_view>

namespace vanillayard {

/// Converts a view for Abseil, whose packaged build has a string_view type of
/// its own that std::string_view does not convert to.
inline absl::string_view abslView(std::string_view View) {
  return absl::string_view(View.data(), View.size());
}

/// Converts a view from Abseil.
inline std::string_view stdView(absl::string_view View) {
  return std::string_view(View.data(), View.size());
}

} // namespace vanillayard

#endif
