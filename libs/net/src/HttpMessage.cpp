#include "net/HttpMessage.h"

#include "absl/strings/match.h"
#include "absl/strings/str_split.h"

namespace vanillayard {

void HttpHeaders::add(std::string Name, std::string Value) {
  this->Fields.emplace_back(std::move(Name), std::move(Value));
}

static bool equalNames(std::string_view A, std::string_view B) {
  return absl::EqualsIgnoreCase(absl::string_view(A.data(), A.size()),
                                absl::string_view(B.data(), B.size()));
}

std::string_view HttpHeaders::get(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (equalNames(Key, Name))
      return Value;
  return {};
}

bool HttpHeaders::has(std::string_view Name) const {
  for (const auto &[Key, Value] : this->Fields)
    if (equalNames(Key, Name))
      return true;
  return false;
}

std::string HttpRequest::queryValue(std::string_view Name) const {
  for (absl::string_view Part : absl::StrSplit(this->Query, '&')) {
    std::pair<absl::string_view, absl::string_view> Pair =
        absl::StrSplit(Part, absl::MaxSplits('=', 1));
    if (Pair.first == absl::string_view(Name.data(), Name.size()))
      return std::string(Pair.second);
  }
  return {};
}

} // namespace vanillayard
