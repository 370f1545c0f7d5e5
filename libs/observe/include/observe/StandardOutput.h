#ifndef VANILLAYARD_OBSERVE_STANDARDOUTPUT_H
#define VANILLAYARD_OBSERVE_STANDARDOUTPUT_H

#include <cstdint>
#include <string_view>

namespace vanillayard {

/// Writes lines to standard output without blocking. A line that the output
/// does not accept whole is dropped and counted; the count is written before
/// the next accepted line.
class StandardOutput {
public:
  StandardOutput();

  void write(std::string_view Line);
  uint64_t droppedLines() const { return this->Dropped; }

private:
  uint64_t Dropped = 0;
  uint64_t DroppedSinceLine = 0;
};

} // namespace vanillayard

#endif
