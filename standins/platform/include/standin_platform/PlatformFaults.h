#ifndef VANILLAYARD_STANDIN_PLATFORM_PLATFORMFAULTS_H
#define VANILLAYARD_STANDIN_PLATFORM_PLATFORMFAULTS_H

#include "base/EnumNames.h"

#include "absl/status/statusor.h"
#include "absl/time/time.h"

#include <cstdint>
#include <string_view>

namespace vanillayard {

enum class PlatformMode { Up, Down, Hang, Slow, LoseAnswers, Stale };

inline constexpr EnumNames<PlatformMode, 6>
    PlatformModeNames({{{PlatformMode::Up, "up"},
                        {PlatformMode::Down, "down"},
                        {PlatformMode::Hang, "hang"},
                        {PlatformMode::Slow, "slow"},
                        {PlatformMode::LoseAnswers, "lose_answers"},
                        {PlatformMode::Stale, "stale"}}});

/// Faults that the stand-in acts out, set by POST /v1/faults. Each post
/// replaces all of them; what it leaves out has its default.
struct PlatformFaults {
  /// Up: none. Down: every call is refused with 503 and watches are cut.
  /// Hang: calls are taken and not answered, watches say nothing. Slow: calls
  /// take effect and are answered after DelayMs. LoseAnswers: writes take
  /// effect and their connection is cut. Stale: reads lag.
  PlatformMode Mode = PlatformMode::Up;
  /// For Slow: "delay_ms", default 2000.
  absl::Duration Delay = absl::Seconds(2);
  /// For LoseAnswers: "count" of answers to lose, 0 for all.
  int64_t LoseCount = 0;
  /// For Stale: "revisions", default 1.
  int64_t StaleRevisions = 1;
  /// "hosts": whether Down, Hang and Slow include the host list. Default true.
  bool IncludesHostList = true;
  /// "break_watches": cuts the open watches, once.
  bool BreakWatches = false;
  /// "silence_watches": watches stay open and lose what they should pass on.
  bool SilenceWatches = false;

  /// Error: InvalidArgument.
  static absl::StatusOr<PlatformFaults> parse(std::string_view Text);
};

} // namespace vanillayard

#endif
