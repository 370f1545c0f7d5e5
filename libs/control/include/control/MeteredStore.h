#ifndef VANILLAYARD_CONTROL_METEREDSTORE_H
#define VANILLAYARD_CONTROL_METEREDSTORE_H

#include "store/CoordinationStore.h"

#include <string_view>

namespace vanillayard {

class Executor;
class Metrics;

/// Decorator of a CoordinationStore that counts and times the calls.
///
/// Metrics: vanillayard_store_calls_total by operation and outcome (ok or the
/// name of the error kind), vanillayard_store_call_seconds by operation.
/// Calls of awaitChanges() are counted but not timed, because they wait.
class MeteredStore final : public CoordinationStore {
public:
  /// All arguments must outlive the store and its calls.
  MeteredStore(const Executor &Exec, CoordinationStore &Inner,
               Metrics &MetricRegistry)
      : Exec(Exec), Inner(Inner), MetricRegistry(MetricRegistry) {}

  void get(const std::string &Key, GetCallback Done) override;
  void list(const std::string &Prefix, ListCallback Done) override;
  void awaitChanges(const std::string &Prefix, int64_t After,
                    absl::Duration Wait, ChangesCallback Done) override;
  void commit(StoreTransaction Transaction, CommitCallback Done) override;
  void grantLease(absl::Duration TimeToLive, LeaseCallback Done) override;
  void renewLease(int64_t Lease, DoneCallback Done) override;
  void endLease(int64_t Lease, DoneCallback Done) override;

private:
  template <typename Result>
  std::function<void(Result)> metered(std::string_view Operation,
                                      std::function<void(Result)> Done);
  void countCall(std::string_view Operation, const absl::Status &Status);

  const Executor &Exec;
  CoordinationStore &Inner;
  Metrics &MetricRegistry;
};

} // namespace vanillayard

#endif
