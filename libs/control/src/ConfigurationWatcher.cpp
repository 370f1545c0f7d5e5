#include "control/ConfigurationWatcher.h"

#include "base/Executor.h"
#include "fleet/QueueTable.h"
#include "observe/Log.h"
#include "store/CoordinationStore.h"

#include <utility>

namespace vanillayard {

/// Maximum duration of one watch call. A dead connection is noticed only after
/// it, so it must be well below the time in which a new version must be in
/// force (2 s) plus the extra time allowed to a host under disturbance (3 s).
static constexpr absl::Duration WatchTime = absl::Milliseconds(2000);
/// Delay before a failed call to the store is retried.
static constexpr absl::Duration RetryDelay = absl::Milliseconds(200);

class ConfigurationWatcher::Impl
    : public std::enable_shared_from_this<ConfigurationWatcher::Impl> {
public:
  Impl(Executor &Exec, CoordinationStore &Store, Log &Events, std::string Key,
       Decoder Decode)
      : Exec(Exec), Store(Store), Events(Events), Key(std::move(Key)),
        Decode(std::move(Decode)) {}

  void read();
  void watch(int64_t Revision);
  void apply(const StoreItem &Item);
  void readLater();
  void confirm() { this->ConfirmedAt = this->Exec.now(); }

  Executor &Exec;
  CoordinationStore &Store;
  Log &Events;
  std::string Key;
  Decoder Decode;
  ChangeCallback Changed;
  std::shared_ptr<const QueueTable> Current;
  bool HasFailed = false;
  absl::Time ConfirmedAt = absl::InfinitePast();
};

void ConfigurationWatcher::Impl::readLater() {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Exec.runAfter(RetryDelay, [Weak] {
    if (std::shared_ptr<Impl> Self = Weak.lock())
      Self->read();
  });
}

void ConfigurationWatcher::Impl::read() {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Store.get(
      this->Key, [Weak](absl::StatusOr<std::optional<StoreItem>> Result) {
        std::shared_ptr<Impl> Self = Weak.lock();
        if (!Self)
          return;
        if (!Result.ok()) {
          if (!std::exchange(Self->HasFailed, true))
            Self->Events.warning("configuration", "the store does not answer",
                                 {{"error", Result.status()}});
          return Self->readLater();
        }
        if (std::exchange(Self->HasFailed, false))
          Self->Events.info("configuration", "the store answers again", {});
        Self->confirm();
        if (!Result->has_value())
          return Self->readLater();
        Self->apply(**Result);
        // Watches from the store's revision, as the item's own revision may be
        // older than the history that the store keeps.
        Self->watch((*Result)->StoreRevision);
      });
}

void ConfigurationWatcher::Impl::watch(int64_t Revision) {
  std::weak_ptr<Impl> Weak = this->weak_from_this();
  this->Store.awaitChanges(this->Key, Revision, WatchTime,
                           [Weak](absl::StatusOr<StoreChanges> Result) {
                             std::shared_ptr<Impl> Self = Weak.lock();
                             if (!Self)
                               return;
                             if (!Result.ok() || Result->IsHistoryLost)
                               return Self->read();
                             Self->confirm();
                             for (const StoreChange &Change : Result->Changes)
                               if (!Change.IsDeleted &&
                                   Change.Item.Key == Self->Key)
                                 Self->apply(Change.Item);
                             Self->watch(Result->Revision);
                           });
}

void ConfigurationWatcher::Impl::apply(const StoreItem &Item) {
  absl::StatusOr<FleetConfiguration> Decoded = this->Decode(Item.Value);
  if (!Decoded.ok()) {
    this->Events.error(
        "configuration", "configuration could not be decoded, ignoring it",
        {{"revision", Item.Revision}, {"error", Decoded.status()}});
    return;
  }
  if (this->Current &&
      Decoded->Version <= this->Current->configuration().Version)
    return;
  this->Events.info("configuration", "configuration is in force",
                    {{"version", Decoded->Version},
                     {"revision", Item.Revision},
                     {"queues", Decoded->Queues.size()},
                     {"accounts", Decoded->Accounts.size()}});
  for (const std::string &Part : Decoded->InvalidSections)
    this->Events.warning(
        "configuration",
        "part of the configuration could not be decoded, leaving it out",
        {{"version", Decoded->Version}, {"part", Part}});
  this->Current = std::make_shared<QueueTable>(*std::move(Decoded));
  if (this->Changed)
    this->Changed(this->Current);
}

ConfigurationWatcher::ConfigurationWatcher(Executor &Exec,
                                           CoordinationStore &Store,
                                           Log &Events, std::string Key,
                                           Decoder Decode)
    : Implementation(std::make_shared<Impl>(Exec, Store, Events, std::move(Key),
                                            std::move(Decode))) {}

ConfigurationWatcher::~ConfigurationWatcher() = default;

void ConfigurationWatcher::start(ChangeCallback Changed) {
  this->Implementation->Changed = std::move(Changed);
  this->Implementation->read();
}

absl::Time ConfigurationWatcher::confirmedAt() const {
  return this->Implementation->ConfirmedAt;
}

std::shared_ptr<const QueueTable> ConfigurationWatcher::current() const {
  return this->Implementation->Current;
}

} // namespace vanillayard
