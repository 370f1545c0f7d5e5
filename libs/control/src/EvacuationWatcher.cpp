#include "control/EvacuationWatcher.h"

#include "base/Executor.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

/// Maximum duration of one watch call. A connection that has gone silent is
/// noticed only after it, so it must be well below the time within which an
/// evacuation must be in force (5 s).
static constexpr absl::Duration WatchTime = absl::Milliseconds(1500);
/// Delay before a failed call to the store is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(200);
/// Longest name of a data centre that is accepted, in bytes.
static constexpr size_t MaxNameBytes = 128;

class EvacuationWatcher::Impl
    : public std::enable_shared_from_this<EvacuationWatcher::Impl> {
public:
  Impl(Executor &Exec, CoordinationStore &Store, Log &Events,
       std::string Prefix)
      : Exec(Exec), Store(Store), Events(Events), Prefix(std::move(Prefix)) {}

  void list();
  void watch(int64_t Revision);
  void listLater();
  void add(const StoreItem &Item, DataCentres &To);
  void replace(DataCentres Newer);

  Executor &Exec;
  CoordinationStore &Store;
  Log &Events;
  std::string Prefix;
  ChangeCallback Changed;
  DataCentres Evacuated;
  absl::Time ConfirmedAt = absl::InfinitePast();
};

void EvacuationWatcher::Impl::listLater() {
  this->Exec.runAfter(RetryDelay, [Weak = this->weak_from_this()] {
    if (std::shared_ptr<Impl> Self = Weak.lock())
      Self->list();
  });
}

void EvacuationWatcher::Impl::list() {
  this->Store.list(this->Prefix, [Weak = this->weak_from_this(),
                                  SentAt = this->Exec.now()](
                                     absl::StatusOr<StoreListing> Result) {
    std::shared_ptr<Impl> Self = Weak.lock();
    if (!Self)
      return;
    if (!Result.ok()) {
      Self->Events.write(LogLevel::Warning, "evacuation",
                         "evacuations could not be read",
                         {{"error", Result.status()}}, "evacuations unread");
      return Self->listLater();
    }
    DataCentres Listed;
    for (const StoreItem &Item : Result->Items)
      Self->add(Item, Listed);
    bool IsFirst = Self->ConfirmedAt == absl::InfinitePast();
    Self->ConfirmedAt = SentAt;
    if (IsFirst && Listed.empty())
      Self->Changed(Listed);
    Self->replace(std::move(Listed));
    Self->watch(Result->Revision);
  });
}

void EvacuationWatcher::Impl::watch(int64_t Revision) {
  this->Store.awaitChanges(
      this->Prefix, Revision, WatchTime,
      [Weak = this->weak_from_this(),
       SentAt = this->Exec.now()](absl::StatusOr<StoreChanges> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        if (!Result.ok() || Result->IsHistoryLost)
          return Self->list();
        Self->ConfirmedAt = SentAt;
        DataCentres Newer = Self->Evacuated;
        for (const StoreChange &Change : Result->Changes) {
          if (!Change.IsDeleted)
            Self->add(Change.Item, Newer);
          else if (Change.Item.Key.starts_with(Self->Prefix))
            Newer.erase(
                DataCentreId(Change.Item.Key.substr(Self->Prefix.size())));
        }
        Self->replace(std::move(Newer));
        Self->watch(Result->Revision);
      });
}

void EvacuationWatcher::Impl::add(const StoreItem &Item, DataCentres &To) {
  std::string Name =
      Item.Key.substr(std::min(this->Prefix.size(), Item.Key.size()));
  if (Name.empty() || Name.size() > MaxNameBytes) {
    this->Events.warning("evacuation",
                         "evacuation names no data centre, ignoring it",
                         {{"key", Item.Key}, {"revision", Item.Revision}});
    return;
  }
  To.insert(DataCentreId(std::move(Name)));
}

void EvacuationWatcher::Impl::replace(DataCentres Newer) {
  if (Newer == this->Evacuated)
    return;
  for (const DataCentreId &Added : Newer)
    if (!this->Evacuated.contains(Added))
      this->Events.warning("evacuation", "data centre is being evacuated",
                           {{"data_centre", Added}});
  for (const DataCentreId &Removed : this->Evacuated)
    if (!Newer.contains(Removed))
      this->Events.info("evacuation", "evacuation is taken back",
                        {{"data_centre", Removed}});
  this->Evacuated = std::move(Newer);
  this->Changed(this->Evacuated);
}

EvacuationWatcher::EvacuationWatcher(Executor &Exec, CoordinationStore &Store,
                                     Log &Events, std::string Prefix)
    : Implementation(
          std::make_shared<Impl>(Exec, Store, Events, std::move(Prefix))) {}

EvacuationWatcher::~EvacuationWatcher() = default;

void EvacuationWatcher::start(ChangeCallback Changed) {
  this->Implementation->Changed = std::move(Changed);
  this->Implementation->list();
}

absl::Time EvacuationWatcher::confirmedAt() const {
  return this->Implementation->ConfirmedAt;
}

} // namespace vanillayard
