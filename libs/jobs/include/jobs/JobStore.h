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

/// A job record with the revision it was read or written at.
struct StoredJob {
  JobRecord Record;
  int64_t ModRevision = 0;
};

/// Outcome of JobStore::update().
struct JobUpdate {
  /// True if the record holds what was written.
  bool Applied = false;
  /// The record as it is now: the one written or, if another change was made
  /// first, that one.
  StoredJob Now;
};

/// Job records in the platform's service. After a write without an answer,
/// the record is read again and decides.
///
/// Callbacks run as those of Store. Dropping the object drops its callbacks.
class JobStore {
public:
  template <typename T> using Callback = std::function<void(absl::StatusOr<T>)>;

  explicit JobStore(Store &Service)
      : Service(&Service), Alive(std::make_shared<bool>(true)) {}

  /// Errors: PlatformUnavailable, NotFound.
  void get(const JobId &Id, Callback<StoredJob> Done);

  /// All records; those that cannot be decoded are left out.
  /// Error: PlatformUnavailable.
  void list(Callback<std::vector<StoredJob>> Done);

  /// Creates the record, or returns the one that a retry of the same request
  /// created. Errors: PlatformUnavailable if no write was sent, so the job
  /// will not run; OutcomeUnknown if a write may take effect; KeyReused.
  void create(const JobRecord &Record, Callback<StoredJob> Done);

  /// Replaces the record if it is still at \p Expected.
  /// Errors: PlatformUnavailable, after which the write may yet take effect;
  /// NotFound if there is no record.
  void update(const JobRecord &Record, int64_t Expected,
              Callback<JobUpdate> Done);

  /// Deletes the record if it is still at \p Expected.
  void remove(const JobId &Id, int64_t Expected);

  static absl::StatusOr<StoredJob> decode(const StoredValue &Value);

private:
  static constexpr int MaxCreateTries = 3;

  void createNow(const JobRecord &Record, int TriesLeft,
                 Callback<StoredJob> Done);
  void resolveUpdate(const JobRecord &Record, int64_t Expected,
                     Callback<JobUpdate> Done);

  Store *Service;
  std::shared_ptr<bool> Alive;
};

} // namespace vanillayard

#endif
