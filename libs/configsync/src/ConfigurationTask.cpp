#include "configsync/ConfigurationTask.h"

#include "config/Configuration.h"
#include "config/ConfigurationCodec.h"
#include "configsync/ConfigurationPeers.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

ConfigurationTask::ConfigurationTask(Executor &Exec, Store &ConfigStore,
                                     ConfigurationPeers &Peers,
                                     std::function<void()> Changed)
    : Exec(Exec), ConfigStore(ConfigStore), Peers(Peers),
      Changed(std::move(Changed)) {}

ConfigurationTask::~ConfigurationTask() {
  this->Exec.cancel(this->ReadTimer);
}

void ConfigurationTask::start() {
  this->read();
}

int64_t ConfigurationTask::generation() const {
  return this->Current ? this->Current->Generation : 0;
}

void ConfigurationTask::read() {
  this->Exec.cancel(this->ReadTimer);
  this->ReadTimer = this->Exec.runAfter(ReadInterval, [this] { this->read(); });
  if (this->ReadInFlight) {
    this->ReadSkipped = true;
    return;
  }
  this->ReadInFlight = true;
  this->ConfigStore.getChanged(Key, this->SeenRevision,
                               [this, Guard = std::weak_ptr<bool>(this->Alive)](
                                   const absl::StatusOr<RangeResult> &Result) {
                                 if (!Guard.expired())
                                   this->onReadDone(Result);
                               });
}

void ConfigurationTask::onReadDone(const absl::StatusOr<RangeResult> &Result) {
  this->ReadInFlight = false;
  bool WasSkipped = std::exchange(this->ReadSkipped, false);
  if (!Result.ok()) {
    ++this->FailedReads;
    // Makes the skipped read now; otherwise it would be made only after
    // another interval.
    if (WasSkipped)
      this->read();
    return;
  }
  this->FailedReads = 0;
  int64_t OldGeneration = this->generation();
  if (!Result->Values.empty())
    this->applyStored(Result->Values.front());
  // A store that was recreated has lower revisions. Resetting SeenRevision
  // makes the next read return its document.
  if (Result->Revision < this->SeenRevision)
    this->SeenRevision = 0;
  // If a read finds a change that the open watch did not deliver, the watch has
  // failed silently.
  if (this->generation() > OldGeneration)
    this->Watch.reset();
  if (!this->Watch && this->Exec.now() >= this->NextWatchTime)
    this->openWatch(Result->Revision + 1);
}

void ConfigurationTask::openWatch(int64_t FromRevision) {
  ++this->WatchesOpened;
  this->Watch = this->ConfigStore.watch(
      Key, FromRevision,
      [this](const std::vector<WatchEvent> &Events) {
        this->WatchBackoff = MinWatchBackoff;
        for (const WatchEvent &Event : Events)
          if (!Event.Deleted && Event.Value.Key == Key)
            this->applyStored(Event.Value);
      },
      [this](const absl::Status &) { this->onWatchEnded(); });
}

void ConfigurationTask::onWatchEnded() {
  // Posted, so that the watch is destroyed only after its callback has
  // returned.
  this->Exec.post([this, Guard = std::weak_ptr<bool>(this->Alive)] {
    if (Guard.expired())
      return;
    this->Watch.reset();
    this->NextWatchTime = this->Exec.now() + this->WatchBackoff;
    this->Exec.runAfter(this->WatchBackoff, [this, Guard] {
      if (!Guard.expired())
        this->read();
    });
    this->WatchBackoff = std::min(2 * this->WatchBackoff, MaxWatchBackoff);
  });
}

void ConfigurationTask::onNewerGeneration(const HostId &Peer,
                                          int64_t Generation) {
  if (Generation <= this->generation() || this->FetchInFlight)
    return;
  this->FetchInFlight = true;
  this->Peers.fetchDocument(Peer, this->generation(),
                            [this, Guard = std::weak_ptr<bool>(this->Alive)](
                                const absl::StatusOr<std::string> &Text) {
                              if (Guard.expired())
                                return;
                              this->FetchInFlight = false;
                              if (Text.ok())
                                this->apply(*Text);
                            });
}

void ConfigurationTask::applyStored(const StoredValue &Value) {
  this->SeenRevision = std::max(this->SeenRevision, Value.ModRevision);
  this->apply(Value.Value);
}

void ConfigurationTask::apply(const std::string &Text) {
  if (Text.empty() || Text == this->Document || Text == this->RefusedDocument)
    return;
  absl::StatusOr<Configuration> Parsed = ConfigurationCodec::decode(Text);
  if (!Parsed.ok()) {
    ++this->Refused;
    this->RefusedDocument = Text;
    this->Refusal = Parsed.status();
    return;
  }
  if (Parsed->Generation <= this->generation())
    return;
  this->Document = Text;
  this->Current = std::make_shared<const Configuration>(*std::move(Parsed));
  ++this->Applied;
  this->Changed();
}

} // namespace vanillayard
