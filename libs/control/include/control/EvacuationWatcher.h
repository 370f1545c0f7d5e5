#ifndef VANILLAYARD_CONTROL_EVACUATIONWATCHER_H
#define VANILLAYARD_CONTROL_EVACUATIONWATCHER_H

#include "base/Ids.h"

#include "absl/container/flat_hash_set.h"
#include "absl/time/time.h"

#include <functional>
#include <memory>
#include <string>

namespace vanillayard {

class CoordinationStore;
class Executor;
class Log;

/// Watches the operators' evacuations in the store. A data centre is being
/// evacuated while a key of the prefix and its name exists, whatever the value:
/// a request that cannot be read is safer obeyed than ignored.
///
/// Lists the keys at the start, after an error and when the store has lost its
/// history, so a deletion is never missed for good.
class EvacuationWatcher {
public:
  using DataCentres = absl::flat_hash_set<DataCentreId>;
  using ChangeCallback = std::function<void(const DataCentres &)>;

  /// \param Prefix keys of evacuations are Prefix + data centre.
  EvacuationWatcher(Executor &Exec, CoordinationStore &Store, Log &Events,
                    std::string Prefix);
  /// No callback runs afterwards.
  ~EvacuationWatcher();

  /// \param Changed called with all evacuated data centres after the first
  ///        read and after each change.
  void start(ChangeCallback Changed);

  /// When the call that the store answered last was sent. All evacuations
  /// acknowledged before then are known. InfinitePast before the first read.
  absl::Time confirmedAt() const;

  class Impl;

private:
  std::shared_ptr<Impl> Implementation;
};

} // namespace vanillayard

#endif
