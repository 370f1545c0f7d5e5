#include "observe/RateLimiter.h"

#include "base/AbslView.h"

namespace vanillayard {

RateLimiter::State &RateLimiter::stateFor(std::string_view Key,
                                          absl::Time Now) {
  auto Found = this->States.find(abslView(Key));
  if (Found != this->States.end())
    return Found->second;
  // Removes ended windows at most once per window, since each new key would
  // otherwise scan all keys.
  if (this->States.size() >= MaxKeys && Now >= this->NextSweep) {
    this->NextSweep = Now + this->Window;
    absl::erase_if(this->States, [&](const auto &Entry) {
      return Now - Entry.second.WindowStart >= this->Window;
    });
  }
  if (this->States.size() >= MaxKeys)
    return this->Shared;
  State Fresh;
  Fresh.WindowStart = Now;
  return this->States.emplace(std::string(Key), Fresh).first->second;
}

std::optional<uint64_t> RateLimiter::admit(std::string_view Key,
                                           absl::Time Now) {
  State &S = this->stateFor(Key, Now);
  if (Now - S.WindowStart >= this->Window) {
    S.WindowStart = Now;
    S.Admitted = 0;
  }
  if (S.Admitted >= this->PerWindow) {
    ++S.Refused;
    return std::nullopt;
  }
  ++S.Admitted;
  return std::exchange(S.Refused, 0);
}

std::vector<std::pair<std::string, uint64_t>>
RateLimiter::takeEndedWindows(absl::Time Now) {
  std::vector<std::pair<std::string, uint64_t>> Ended;
  absl::erase_if(this->States, [&](const auto &Entry) {
    const auto &[Key, S] = Entry;
    if (Now - S.WindowStart < this->Window)
      return false;
    if (S.Refused > 0)
      Ended.emplace_back(Key, S.Refused);
    return true;
  });
  return Ended;
}

} // namespace vanillayard
