#ifndef VANILLAYARD_STORE_TESTING_FAKESTORE_H
#define VANILLAYARD_STORE_TESTING_FAKESTORE_H

#include "base/Executor.h"
#include "store/Store.h"
#include "store/testing/FakeStoreData.h"

#include "absl/time/time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// A client of an in-memory store, with injected faults.
///
/// A write takes effect after half of the latency, and its callback runs after
/// the whole latency. If the latency is not shorter than the timeout, the call
/// fails at the timeout, and the write takes effect all the same, possibly
/// later. No callback runs after the destructor, but writes in progress still
/// take effect.
///
/// \code
///   VirtualExecutor Exec;
///   FakeStore Store(Exec);                     // creates its own data
///   FakeStore Other(Exec, Store.sharedData()); // a second client
///   Store.data().put("/vanillayard/config", Text);
///   Store.loseAnswers(1);
/// \endcode
class FakeStore final : public Store {
public:
  struct CallCounts {
    int Reads = 0;
    int Writes = 0;
    int Watches = 0;
  };

  explicit FakeStore(Executor &Exec);
  FakeStore(Executor &Exec, std::shared_ptr<FakeStoreData> Data);
  ~FakeStore() override;

  void get(const std::string &Key, RangeCallback Done) override;
  void list(const std::string &Prefix, RangeCallback Done) override;
  void write(std::vector<ConditionalWrite> Writes, WriteCallback Done) override;
  std::unique_ptr<StoreWatch> watch(const std::string &Prefix,
                                    int64_t FromRevision, WatchCallback Changed,
                                    WatchEndCallback Ended) override;

  /// Time from a call to its callback. Default 1 ms.
  void setLatency(absl::Duration Value);
  /// Time after which a call without an answer fails. Default 1 s.
  void setTimeout(absl::Duration Value);
  /// While down, calls fail after the latency without effect, answers to
  /// writes in progress are lost, and watches end with an error.
  void setDown(bool Value);
  /// While partitioned, calls fail at the timeout without effect, and watches
  /// stay open but drop all changes.
  void setPartitioned(bool Value);
  /// The next \p Count calls fail without effect.
  void failCalls(int Count);
  /// The next \p Count writes take effect and their answers are lost.
  void loseAnswers(int Count);
  /// Reads return the content of this many revisions ago. Default 0.
  void setStaleReads(int64_t RevisionsBehind);
  /// Ends all watches of this client with an error.
  void breakWatches();
  /// While silent, watches stay open but drop all changes.
  void setWatchesSilent(bool Value);

  /// Number of calls that this client has made.
  const CallCounts &counts() const;
  /// The store's content, to be read or changed without latency or faults.
  FakeStoreData &data();
  std::shared_ptr<FakeStoreData> sharedData() const;

private:
  struct WatchState;
  class Watch;
  struct State;

  std::shared_ptr<State> Shared;
};

} // namespace vanillayard

#endif
