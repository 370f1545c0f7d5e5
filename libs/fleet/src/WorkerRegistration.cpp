#include "fleet/WorkerRegistration.h"

#include "base/ErrorKind.h"

#include <algorithm>

namespace vanillayard {

static absl::Status invalid(const char *Detail) {
  return makeError(ErrorKind::InvalidRequest, Detail);
}

absl::Status validate(const WorkerRegistration &Registration) {
  const std::string &Id = Registration.Id.str();
  bool IsPrintable = std::all_of(Id.begin(), Id.end(),
                                 [](char C) { return C > ' ' && C <= '~'; });
  if (Id.empty() || Id.size() > WorkerRegistration::MaxIdBytes || !IsPrintable)
    return invalid("the id is empty, too long or not printable");
  if (Registration.Address.empty() || Registration.WorkerPool.empty())
    return invalid("the address or the pool is missing");
  if (!Registration.Capacity.isInRange())
    return invalid("the capacity is out of range");
  if (Registration.Incarnation < 0 ||
      Registration.Incarnation > WorkerRegistration::MaxIncarnation ||
      Registration.Clock < absl::ZeroDuration() ||
      Registration.Clock > WorkerRegistration::MaxClock)
    return invalid("the incarnation or the clock is out of range");
  return absl::OkStatus();
}

} // namespace vanillayard
