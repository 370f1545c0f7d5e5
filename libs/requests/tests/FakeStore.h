#ifndef VANILLAYARD_REQUESTS_TESTS_FAKESTORE_H
#define VANILLAYARD_REQUESTS_TESTS_FAKESTORE_H

#include "base/Executor.h"
#include "store/Store.h"

#include "absl/time/time.h"

#include <map>
#include <random>

namespace vanillayard {

/// In-memory key-value service of a simulation, with fault injection.
class FakeStore {
public:
  struct Faults {
    /// Calls fail without effect.
    bool Down = false;
    absl::Duration Delay = absl::Milliseconds(2);
    /// Probability that a call takes effect and its answer is lost.
    double LoseAnswer = 0;
    /// Probability that a write takes effect 3 s late.
    double LateWrite = 0;
    /// Probability that a read returns the state before the last write call.
    double StaleRead = 0;
  };

  FakeStore(Executor &VirtualExec, uint64_t Seed)
      : VirtualExec(VirtualExec), Random(Seed) {}

  bool chance(double Probability) {
    return std::uniform_real_distribution<double>()(this->Random) < Probability;
  }
  RangeResult read(const std::string &Key);
  std::vector<WriteResult> write(const std::vector<ConditionalWrite> &Writes);

  Executor &VirtualExec;
  Faults Fault;
  int Reads = 0;
  int Writes = 0;

private:
  using Data = std::map<std::string, StoredValue>;

  std::mt19937_64 Random;
  int64_t Revision = 1;
  Data CurrentData;
  Data PreviousData;
};

/// One host's connection to the store.
class FakeStoreClient final : public Store {
public:
  FakeStoreClient(FakeStore &Service, Executor &HostExec)
      : Service(Service), HostExec(HostExec) {}

  void get(const std::string &Key, RangeCallback Done) override;
  void list(const std::string &Prefix, RangeCallback Done) override;
  void write(std::vector<ConditionalWrite> Writes, WriteCallback Done) override;
  std::unique_ptr<StoreWatch> watch(const std::string &Prefix,
                                    int64_t FromRevision, WatchCallback Changed,
                                    WatchEndCallback Ended) override;

private:
  FakeStore &Service;
  Executor &HostExec;
};

} // namespace vanillayard

#endif
