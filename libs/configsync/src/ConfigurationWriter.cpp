#include "configsync/ConfigurationWriter.h"

#include "base/ErrorKind.h"
#include "config/ConfigurationCodec.h"
#include "configsync/ConfigurationTask.h"

#include <fmt/format.h>

#include <utility>

namespace vanillayard {

static constexpr absl::Duration RetryDelay = absl::Milliseconds(250);

struct ConfigurationWriter::Attempt {
  Configuration New;
  std::string Text;
  int64_t BaseRevision = 0;
  absl::Time Deadline;
  /// An earlier write had no answer, so it may have taken effect.
  bool IsUncertain = false;
  ApplyCallback Done;
};

ConfigurationWriter::ConfigurationWriter(Executor &Exec, Store &Target,
                                         absl::Duration Limit)
    : Exec(Exec), Target(Target), Limit(Limit) {}

ConfigurationWriter::~ConfigurationWriter() {
  *this->Alive = false;
}

void ConfigurationWriter::read(ReadCallback Done) {
  this->tryRead(this->Exec.now() + this->Limit, std::move(Done));
}

static absl::StatusOr<ConfigurationWriter::Found>
toFound(const RangeResult &Result) {
  ConfigurationWriter::Found Found;
  if (Result.Values.empty())
    return Found;
  const StoredValue &Value = Result.Values.front();
  absl::StatusOr<Configuration> Config =
      ConfigurationCodec::decode(Value.Value);
  if (!Config.ok())
    return makeError(ErrorKind::Internal,
                     "the stored configuration is not valid: " +
                         std::string(Config.status().message()));
  Found.Config = std::move(*Config);
  Found.ModRevision = Value.ModRevision;
  return Found;
}

void ConfigurationWriter::tryRead(absl::Time Deadline, ReadCallback Done) {
  this->Target.get(
      ConfigurationTask::Key,
      [this, Token = this->Alive, Deadline,
       Done = std::move(Done)](const absl::StatusOr<RangeResult> &Result) {
        if (!*Token)
          return;
        if (Result.ok())
          return Done(toFound(*Result));
        if (this->Exec.now() + RetryDelay >= Deadline)
          return Done(Result.status());
        this->Exec.runAfter(RetryDelay, [this, Token, Deadline, Done] {
          if (*Token)
            this->tryRead(Deadline, Done);
        });
      });
}

void ConfigurationWriter::apply(Configuration New, const Found &Base,
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
  auto State = std::make_shared<Attempt>();
  State->Text = ConfigurationCodec::encode(New);
  State->New = std::move(New);
  State->BaseRevision = Base.ModRevision;
  State->Deadline = this->Exec.now() + this->Limit;
  State->Done = std::move(Done);
  this->tryWrite(std::move(State));
}

void ConfigurationWriter::tryWrite(std::shared_ptr<Attempt> State) {
  ConditionalWrite Write{ConfigurationTask::Key, State->BaseRevision,
                         State->Text, false};
  this->Target.write(
      {std::move(Write)},
      [this, State, Token = this->Alive](
          const absl::StatusOr<std::vector<WriteResult>> &Results) {
        if (*Token)
          this->onWritten(State, Results);
      });
}

void ConfigurationWriter::onWritten(
    const std::shared_ptr<Attempt> &State,
    const absl::StatusOr<std::vector<WriteResult>> &Results) {
  if (Results.ok()) {
    const WriteResult &Result = Results->front();
    // A refused repetition that finds our own text: the first one took effect.
    if (Result.Applied ||
        (State->IsUncertain && Result.FoundValue == State->Text))
      return State->Done(State->New);
    return State->Done(makeError(
        ErrorKind::Conflict,
        State->IsUncertain
            ? "another change was made; this one may have been in force "
              "before it"
            : "another change was made first; nothing was written"));
  }
  State->IsUncertain = true;
  if (this->Exec.now() + RetryDelay >= State->Deadline)
    return State->Done(makeError(
        ErrorKind::OutcomeUnknown,
        fmt::format("the store does not answer, so the change may take effect "
                    "later: {}",
                    std::string(Results.status().message()))));
  this->Exec.runAfter(RetryDelay, [this, State, Token = this->Alive] {
    if (*Token)
      this->tryWrite(State);
  });
}

} // namespace vanillayard
