#include "base/JsonText.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

bool nestsDeeperThan(std::string_view Text, int MaxDepth) {
  int Depth = 0;
  bool IsInString = false;
  for (size_t I = 0; I < Text.size(); ++I) {
    char C = Text[I];
    if (IsInString) {
      if (C == '\\')
        ++I;
      else if (C == '"')
        IsInString = false;
      continue;
    }
    if (C == '"')
      IsInString = true;
    else if (C == '[' || C == '{')
      ++Depth;
    else if (C == ']' || C == '}')
      --Depth;
    if (Depth > MaxDepth)
      return true;
  }
  return false;
}

nlohmann::json parseUntrustedJson(std::string_view Text) {
  if (nestsDeeperThan(Text, MaxJsonDepth))
    return nlohmann::json(nlohmann::json::value_t::discarded);
  return nlohmann::json::parse(Text, nullptr, /*allow_exceptions=*/false);
}

} // namespace vanillayard
