#ifndef VANILLAYARD_CONTROL_RECORDKEYS_H
#define VANILLAYARD_CONTROL_RECORDKEYS_H

#include "base/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace vanillayard {

/// Keys of the scheduler's records in the store.
///
/// | key              | content                              | writer |
/// | ---------------- | ------------------------------------ | ------ |
/// | vy/leader        | the leader's host, under its lease   | leader |
/// | vy/term          | the host that claimed the role last  | leader |
/// | vy/job/ID        | the accepted job, never changed      | any host |
/// | vy/job/ID/cancel | the job's cancellation               | any host |
/// | vy/progress/ID   | state and progress; created with the job | leader |
/// | vy/workers       | ids of workers that may have runs    | leader |
/// | vy/waiting       | number of jobs not started, by queue | leader |
/// | vy/run-times     | what was learned from finished runs  | leader |
/// | vy/host/NAME     | the host's address, under its lease  | each host |
class RecordKeys {
public:
  static constexpr std::string_view Leader = "vy/leader";
  static constexpr std::string_view Term = "vy/term";
  static constexpr std::string_view JobPrefix = "vy/job/";
  static constexpr std::string_view ProgressPrefix = "vy/progress/";
  static constexpr std::string_view Workers = "vy/workers";
  static constexpr std::string_view Waiting = "vy/waiting";
  static constexpr std::string_view RunTimes = "vy/run-times";
  static constexpr std::string_view HostPrefix = "vy/host/";

  static std::string job(const JobId &Id);
  static std::string cancel(const JobId &Id);
  static std::string progress(const JobId &Id);
  static std::string host(const HostId &Host);

  /// A parsed key below JobPrefix.
  struct JobKey {
    JobId Id;
    /// True for the key of the job's cancellation.
    bool IsCancel = false;
  };
  static std::optional<JobKey> parseJobKey(std::string_view Key);
  static std::optional<JobId> parseProgressKey(std::string_view Key);
};

} // namespace vanillayard

#endif
