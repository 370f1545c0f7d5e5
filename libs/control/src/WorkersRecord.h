#ifndef VANILLAYARD_CONTROL_WORKERSRECORD_H
#define VANILLAYARD_CONTROL_WORKERSRECORD_H

#include "base/Ids.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace vanillayard {

/// Encodes the record of workers that may have runs: one worker id per line.
inline std::string encodeWorkers(const std::set<WorkerId> &Workers) {
  std::string Text;
  for (const WorkerId &Id : Workers)
    Text += Id.str() + "\n";
  return Text;
}

inline std::vector<WorkerId> decodeWorkers(std::string_view Text) {
  std::vector<WorkerId> Workers;
  while (!Text.empty()) {
    size_t End = std::min(Text.find('\n'), Text.size());
    if (End > 0)
      Workers.emplace_back(std::string(Text.substr(0, End)));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Workers;
}

} // namespace vanillayard

#endif
