#include "PlannedJob.h"

#include "placement/CellTable.h"

#include <algorithm>

namespace vanillayard {

bool PlannedJob::samePlacement(const JobRecord &Other) const {
  return std::equal(
      this->Members.begin(), this->Members.end(), Other.Placement.begin(),
      Other.Placement.end(), [](const GangMember &A, const MemberLease &B) {
        return A.Place.Lease == B.Lease && A.Place.Worker == B.Worker;
      });
}

absl::Time PlannedJob::oldestRenewal() const {
  absl::Time Oldest = absl::InfiniteFuture();
  for (const GangMember &Member : this->Members)
    if (Member.State == LeaseState::Held || Member.State == LeaseState::Running)
      Oldest = std::min(Oldest, Member.RenewedAt);
  return Oldest;
}

std::vector<MemberLease> PlannedJob::placement() const {
  std::vector<MemberLease> Result;
  Result.reserve(this->Members.size());
  for (const GangMember &Member : this->Members)
    Result.push_back(Member.Place);
  return Result;
}

uint8_t PlannedJob::maskOf(const std::vector<int> &Accelerators) {
  unsigned Mask = 0;
  for (int Index : Accelerators)
    if (Index >= 0 && Index < MaxAcceleratorsPerWorker)
      Mask |= 1U << Index;
  return static_cast<uint8_t>(Mask);
}

std::vector<int> PlannedJob::indexesOf(uint8_t Mask) {
  std::vector<int> Result;
  for (int I = 0; I < MaxAcceleratorsPerWorker; ++I)
    if (Mask >> I & 1)
      Result.push_back(I);
  return Result;
}

} // namespace vanillayard
