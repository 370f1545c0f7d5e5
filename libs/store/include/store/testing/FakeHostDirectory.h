#ifndef VANILLAYARD_STORE_TESTING_FAKEHOSTDIRECTORY_H
#define VANILLAYARD_STORE_TESTING_FAKEHOSTDIRECTORY_H

#include "base/Executor.h"
#include "store/HostDirectory.h"

#include "absl/time/time.h"

#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace vanillayard {

/// An in-memory host list with a configurable lag and injected faults. No
/// callback runs after the destructor.
class FakeHostDirectory final : public HostDirectory {
public:
  explicit FakeHostDirectory(Executor &Exec);
  ~FakeHostDirectory() override;

  void fetch(Callback Done) override;

  /// Replaces the list. fetch() returns it once the lag has passed.
  void setHosts(std::vector<ListedHost> Hosts);
  /// Adds a host, or replaces the one with the same name.
  void setHost(const ListedHost &Host);
  void removeHost(const std::string &Name);
  /// Age of the list that fetch() returns. Default 0.
  void setLag(absl::Duration Value) { this->Lag = Value; }
  /// Time from a call to its callback. Default 1 ms.
  void setLatency(absl::Duration Value) { this->Latency = Value; }
  /// Time after which a call with a longer latency fails. Default 1 s.
  void setTimeout(absl::Duration Value) { this->Timeout = Value; }
  /// While down, calls fail with PlatformUnavailable.
  void setDown(bool Value) { this->Down = Value; }

  /// Number of calls of fetch().
  int fetchCount() const { return this->FetchCount; }

private:
  HostList laggedList() const;

  Executor &Exec;
  /// All lists set so far, oldest first; the first one is empty.
  std::deque<HostList> Lists;
  absl::Duration Lag = absl::ZeroDuration();
  absl::Duration Latency = absl::Milliseconds(1);
  absl::Duration Timeout = absl::Seconds(1);
  bool Down = false;
  int FetchCount = 0;
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace vanillayard

#endif
