#include "configsync/ConfigurationWriter.h"

#include "base/ErrorKind.h"
#include "config/ConfigurationCodec.h"
#include "configsync/ConfigurationTask.h"

#include <fmt/format.h>

#include <utility>

namespace vanillayard {

static constexpr absl::Duration RetryDelay = absl::Milliseconds(250);

/// One call of apply() with its retries.
struct ConfigurationWriter::PendingApply {
  Configuration New;
  std::string Text;
  int64_t BaseRevision = 0;
  absl::Time Deadline;
  /// True if an earlier write got no answer, so that it may have taken effect.
  bool IsUncertain = false;
  ApplyCallback Done;
};

ConfigurationWriter::ConfigurationWriter(Executor &Exec, Store &ConfigStore,
                                         absl::Duration Timeout)
    : Exec(Exec), ConfigStore(ConfigStore), Timeout(Timeout) {}

ConfigurationWriter::~ConfigurationWriter() {
  *this->Alive = false;
}

void ConfigurationWriter::read(ReadCallback Done) {
  this->tryRead(this->Exec.now() + this->Timeout, std::move(Done));
}

static absl::StatusOr<ConfigurationWriter::StoredConfiguration>
decodeStored(const RangeResult &Result) {
  ConfigurationWriter::StoredConfiguration Stored;
  if (Result.Values.empty())
    return Stored;
  const StoredValue &Value = Result.Values.front();
  absl::StatusOr<Configuration> Config =
      ConfigurationCodec::decode(Value.Value);
  if (!Config.ok())
    return makeError(ErrorKind::Internal,
                     "the stored configuration is not valid: " +
                         std::string(Config.status().message()));
  Stored.Config = std::move(*Config);
  Stored.ModRevision = Value.ModRevision;
  return Stored;
}

void ConfigurationWriter::tryRead(absl::Time Deadline, ReadCallback Done) {
  this->ConfigStore.get(
      ConfigurationTask::Key,
      [this, Token = this->Alive, Deadline,
       Done = std::move(Done)](const absl::StatusOr<RangeResult> &Result) {
        if (!*Token)
          return;
        if (Result.ok())
          return Done(decodeStored(*Result));
        if (this->Exec.now() + RetryDelay >= Deadline)
          return Done(Result.status());
        this->Exec.runAfter(RetryDelay, [this, Token, Deadline, Done] {
          if (*Token)
            this->tryRead(Deadline, Done);
        });
      });
}

void ConfigurationWriter::apply(Configuration New,
                                const StoredConfiguration &Base,
                                ApplyCallback Done) {
  if (Base.Config)
    New.Generation = Base.Config->Generation + 1;
  absl::Status Valid = ConfigurationCodec::validate(New);
  if (!Valid.ok()) {
    this->Exec.post([Token = this->Alive, Valid, Done = std::move(Done)] {
      if (*Token)
        Done(Valid);
    });
    return;
  }
  auto Pending = std::make_shared<PendingApply>();
  Pending->Text = ConfigurationCodec::encode(New);
  Pending->New = std::move(New);
  Pending->BaseRevision = Base.ModRevision;
  Pending->Deadline = this->Exec.now() + this->Timeout;
  Pending->Done = std::move(Done);
  this->tryWrite(std::move(Pending));
}

void ConfigurationWriter::tryWrite(std::shared_ptr<PendingApply> Pending) {
  ConditionalWrite Write{ConfigurationTask::Key, Pending->BaseRevision,
                         Pending->Text, false};
  this->ConfigStore.write(
      {std::move(Write)},
      [this, Pending, Token = this->Alive](
          const absl::StatusOr<std::vector<WriteResult>> &Results) {
        if (*Token)
          this->onWritten(Pending, Results);
      });
}

void ConfigurationWriter::onWritten(
    const std::shared_ptr<PendingApply> &Pending,
    const absl::StatusOr<std::vector<WriteResult>> &Results) {
  if (Results.ok()) {
    const WriteResult &Result = Results->front();
    // If a retry is refused and the store holds the document of this change, an
    // earlier write took effect.
    if (Result.Applied ||
        (Pending->IsUncertain && Result.FoundValue == Pending->Text))
      return Pending->Done(Pending->New);
    return Pending->Done(makeError(
        ErrorKind::Conflict,
        Pending->IsUncertain
            ? "the stored configuration was changed by another writer; this "
              "change may have been in force before that"
            : "the stored configuration was changed after it was read; nothing "
              "was written"));
  }
  Pending->IsUncertain = true;
  if (this->Exec.now() + RetryDelay >= Pending->Deadline)
    return Pending->Done(makeError(
        ErrorKind::OutcomeUnknown,
        fmt::format("the store does not answer, so the change may take effect "
                    "later: {}",
                    std::string(Results.status().message()))));
  this->Exec.runAfter(RetryDelay, [this, Pending, Token = this->Alive] {
    if (*Token)
      this->tryWrite(Pending);
  });
}

} // namespace vanillayard
