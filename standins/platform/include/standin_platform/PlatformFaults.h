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

/// Faults that the stand-in injects, set by POST /v1/faults. Each request
/// replaces all of them; a property that it leaves out gets its default.
struct PlatformFaults {
  /// "mode":
  /// - Up: no fault.
  /// - Down: every call gets status 503, and open watches are aborted.
  /// - Hang: calls are accepted but neither executed nor answered, and watches
  ///   send no events. When the mode ends, these calls get status 503.
  /// - Slow: calls are executed and answered after Delay.
  /// - LoseAnswers: writes take effect, but the connection is aborted instead
  ///   of an answer.
  /// - Stale: reads return an earlier revision.
  PlatformMode Mode = PlatformMode::Up;
  /// For Slow: "delay_ms", default 2000.
  absl::Duration Delay = absl::Seconds(2);
  /// For LoseAnswers: "count", the number of answers to lose; 0 for all.
  int64_t LoseCount = 0;
  /// For Stale: "revisions" by which reads lag, default 1.
  int64_t StaleRevisions = 1;
  /// "hosts": whether Down, Hang and Slow include the host list. Default true.
  bool IncludesHostList = true;
  /// "break_watches": aborts the watches that are open now.
  bool BreakWatches = false;
  /// "silence_watches": watches stay open, but their events are dropped.
  bool SilenceWatches = false;

  /// Error: InvalidArgument.
  static absl::StatusOr<PlatformFaults> parse(std::string_view Text);
};

} // namespace vanillayard

#endif
