#ifndef VANILLAYARD_JOBS_JOBSTORE_H
#define VANILLAYARD_JOBS_JOBSTORE_H

#include "jobs/JobRecord.h"

#include "absl/status/statusor.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

namespace vanillayard {

class Store;
struct StoredValue;

/// A job record with the revision at which it was read or written.
struct StoredJob {
  JobRecord Record;
  int64_t ModRevision = 0;
};

/// Outcome of JobStore::update().
struct JobUpdate {
  /// True if the record holds what was written.
  bool Applied = false;
  /// The current record: the one written or, if another writer changed the
  /// record first, the one that it wrote.
  StoredJob Current;
};

/// Reads and writes job records in the platform's store. If the store does not
/// confirm a write, the record itself shows whether the write took effect:
/// create() repeats the write, update() reads the record again.
///
/// Callbacks run as those of Store, and never after the JobStore is destroyed.
class JobStore {
public:
  template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

  explicit JobStore(Store &Service)
      : Service(&Service), Alive(std::make_shared<bool>(true)) {}

  /// Errors: PlatformUnavailable, NotFound.
  void get(const JobId &Id, Callback<StoredJob> Done);

  /// Lists all records; those that cannot be decoded are left out.
  /// Error: PlatformUnavailable.
  void list(Callback<std::vector<StoredJob>> Done);

  /// Creates the record, or returns the existing one if an earlier try of the
  /// same request created it.
  /// Errors: PlatformUnavailable if no write was sent, so the job will not
  /// run; OutcomeUnknown if a write may still take effect; KeyReused if the
  /// existing record is of a different request.
  void create(const JobRecord &Record, Callback<StoredJob> Done);

  /// Replaces the record if it is still at \p ExpectedRevision.
  /// Errors: PlatformUnavailable, after which the write may still take effect;
  /// NotFound if there is no record.
  void update(const JobRecord &Record, int64_t ExpectedRevision,
              Callback<JobUpdate> Done);

  /// Deletes the record if it is still at \p ExpectedRevision. Does not wait
  /// for the outcome.
  void remove(const JobId &Id, int64_t ExpectedRevision);

  static absl::StatusOr<StoredJob> decode(const StoredValue &Value);

private:
  static constexpr int MaxCreateTries = 3;

  void writeNewRecord(const JobRecord &Record, int TriesLeft,
                      Callback<StoredJob> Done);
  void resolveUpdate(const JobRecord &Record, int64_t ExpectedRevision,
                     Callback<JobUpdate> Done);

  Store *Service;
  std::shared_ptr<bool> Alive;
};

} // namespace vanillayard

#endif
