#ifndef VANILLAYARD_BASE_ENUMNAMES_H
#define VANILLAYARD_BASE_ENUMNAMES_H

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace vanillayard {

/// A table of names for an enum class.
///
/// \code
///   constexpr EnumNames<State, 2> StateNames({{{State::Held, "held"},
///                                              {State::Running, "running"}}});
///   StateNames.nameOf(State::Held);   // "held"
///   StateNames.parse("running");      // State::Running
/// \endcode
template <typename Enum, size_t Count> class EnumNames {
public:
  using Entry = std::pair<Enum, std::string_view>;

  constexpr explicit EnumNames(const std::array<Entry, Count> &Entries)
      : Entries(Entries) {}

  /// Returns the name, or "invalid" for a value that is not in the table.
  constexpr std::string_view nameOf(Enum Value) const {
    for (const Entry &E : this->Entries)
      if (E.first == Value)
        return E.second;
    return "invalid";
  }

  constexpr std::optional<Enum> parse(std::string_view Name) const {
    for (const Entry &E : this->Entries)
      if (E.second == Name)
        return E.first;
    return std::nullopt;
  }

  constexpr const std::array<Entry, Count> &entries() const {
    return this->Entries;
  }

private:
  std::array<Entry, Count> Entries;
};

} // namespace vanillayard

#endif
