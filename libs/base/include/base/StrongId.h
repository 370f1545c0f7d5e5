#ifndef VANILLAYARD_BASE_STRONGID_H
#define VANILLAYARD_BASE_STRONGID_H

#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace vanillayard {

/// A string identifier whose type keeps it apart from other identifiers: ids
/// with different tags do not convert to each other.
///
/// \code
///   WorkerId Worker("dc1-w3");
///   Map[Worker] = ...;       // hashable with std::hash and absl::Hash
/// \endcode
template <typename Tag> class StrongId {
public:
  StrongId() = default;
  explicit StrongId(std::string Value) : Value(std::move(Value)) {}

  const std::string &str() const { return this->Value; }
  bool empty() const { return this->Value.empty(); }

  friend bool operator==(const StrongId &, const StrongId &) = default;
  friend auto operator<=>(const StrongId &, const StrongId &) = default;

  template <typename H> friend H AbslHashValue(H State, const StrongId &Id) {
    return H::combine(std::move(State), Id.Value);
  }
  friend std::ostream &operator<<(std::ostream &Out, const StrongId &Id) {
    return Out << Id.Value;
  }

private:
  std::string Value;
};

} // namespace vanillayard

template <typename Tag> struct std::hash<vanillayard::StrongId<Tag>> {
  size_t operator()(const vanillayard::StrongId<Tag> &Id) const {
    return std::hash<std::string>()(Id.str());
  }
};

#endif
