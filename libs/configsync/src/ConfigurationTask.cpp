#include "configsync/ConfigurationTask.h"

#include "config/Configuration.h"
#include "config/ConfigurationCodec.h"
#include "configsync/ConfigurationPeers.h"

#include <algorithm>

namespace vanillayard {

ConfigurationTask::ConfigurationTask(Executor &Exec, Store &Service,
                                     ConfigurationPeers &Peers,
                                     std::function<void()> Changed)
    : Exec(Exec), Service(Service), Peers(Peers), Changed(std::move(Changed)) {}

ConfigurationTask::~ConfigurationTask() { this->Exec.cancel(this->ReadTimer); }

void ConfigurationTask::start() { this->read(); }

int64_t ConfigurationTask::generation() const {
  return this->Current ? this->Current->Generation : 0;
}

void ConfigurationTask::read() {
  this->Exec.cancel(this->ReadTimer);
  this->ReadTimer =
      this->Exec.runAfter(ReadInterval, [this] { this->read(); });
  if (this->ReadInFlight)
    return;
  this->ReadInFlight = true;
  this->Service.get(
      Key, [this, Guard = std::weak_ptr<bool>(this->Alive)](
               const absl::StatusOr<RangeResult> &Result) {
        if (!Guard.expired())
          this->readDone(Result);
      });
}

void ConfigurationTask::readDone(const absl::StatusOr<RangeResult> &Result) {
  this->ReadInFlight = false;
  if (!Result.ok()) {
    ++this->FailedReads;
    return;
  }
  this->FailedReads = 0;
  if (!Result->Values.empty())
    this->apply(Result->Values.front().Value);
  if (!this->Watch && this->Exec.now() >= this->NextWatch)
    this->openWatch(Result->Revision + 1);
}

void ConfigurationTask::openWatch(int64_t FromRevision) {
  this->Watch = this->Service.watch(
      Key, FromRevision,
      [this](const std::vector<WatchEvent> &Events) {
        this->WatchBackoff = MinWatchBackoff;
        for (const WatchEvent &Event : Events)
          if (!Event.Deleted)
            this->apply(Event.Value.Value);
      },
      [this](const absl::Status &) { this->watchEnded(); });
}

void ConfigurationTask::watchEnded() {
  // The watch is destroyed after its own callback has returned.
  this->Exec.post([this, Guard = std::weak_ptr<bool>(this->Alive)] {
    if (Guard.expired())
      return;
    this->Watch.reset();
    this->NextWatch = this->Exec.now() + this->WatchBackoff;
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
  this->Peers.fetch(Peer, this->generation(),
                    [this, Guard = std::weak_ptr<bool>(this->Alive)](
                        const absl::StatusOr<std::string> &Text) {
                      if (Guard.expired())
                        return;
                      this->FetchInFlight = false;
                      if (Text.ok())
                        this->apply(*Text);
                    });
}

void ConfigurationTask::apply(const std::string &Text) {
  if (Text.empty() || Text == this->Document)
    return;
  absl::StatusOr<Configuration> Parsed = ConfigurationCodec::decode(Text);
  if (!Parsed.ok()) {
    ++this->Refused;
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
