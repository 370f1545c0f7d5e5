#include "control/RecordKeys.h"

namespace vanillayard {

static constexpr std::string_view CancelSuffix = "/cancel";

template <typename IdType>
static std::string join(std::string_view Prefix, const IdType &Id,
                        std::string_view Suffix = "") {
  std::string Key(Prefix);
  Key += Id.str();
  Key += Suffix;
  return Key;
}

std::string RecordKeys::job(const JobId &Id) {
  return join(JobPrefix, Id);
}

std::string RecordKeys::cancel(const JobId &Id) {
  return join(JobPrefix, Id, CancelSuffix);
}

std::string RecordKeys::progress(const JobId &Id) {
  return join(ProgressPrefix, Id);
}

std::string RecordKeys::host(const HostId &Host) {
  return join(HostPrefix, Host);
}

std::optional<RecordKeys::JobKey>
RecordKeys::parseJobKey(std::string_view Key) {
  if (!Key.starts_with(JobPrefix))
    return std::nullopt;
  Key.remove_prefix(JobPrefix.size());
  bool IsCancel = Key.ends_with(CancelSuffix);
  if (IsCancel)
    Key.remove_suffix(CancelSuffix.size());
  if (Key.empty() || Key.find('/') != std::string_view::npos)
    return std::nullopt;
  return JobKey{JobId(std::string(Key)), IsCancel};
}

std::optional<JobId> RecordKeys::parseProgressKey(std::string_view Key) {
  if (!Key.starts_with(ProgressPrefix) || Key.size() == ProgressPrefix.size())
    return std::nullopt;
  return JobId(std::string(Key.substr(ProgressPrefix.size())));
}

} // namespace vanillayard
