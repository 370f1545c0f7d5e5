#ifndef VANILLAYARD_CONTROL_JOBRECORDINDEX_H
#define VANILLAYARD_CONTROL_JOBRECORDINDEX_H

#include "base/Ids.h"

#include "absl/container/flat_hash_map.h"

#include <cstdint>
#include <optional>

namespace vanillayard {

/// The job records that the leader has read, with the revision of each.
///
/// A job record is written once and deleted once, so its revision tells the
/// jobs apart that have had the same id. A record stays in the index until a
/// watch has reported its deletion: a listing that was read before the deletion
/// was applied still holds it.
class JobRecordIndex {
public:
  /// Adds a record that was read.
  /// \returns false if it is known already, or older than the known one.
  bool add(const JobId &Id, int64_t Revision);

  /// Removes a record whose deletion, at \p DeletedAt, a watch has reported.
  void forget(const JobId &Id, int64_t DeletedAt);

  /// Revision of the job's record; nullopt if it is not known.
  std::optional<int64_t> revision(const JobId &Id) const;

private:
  absl::flat_hash_map<JobId, int64_t> Revisions;
};

} // namespace vanillayard

#endif
