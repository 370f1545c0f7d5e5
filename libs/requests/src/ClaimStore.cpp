#include "requests/ClaimStore.h"

#include "base/ErrorKind.h"
#include "base/Executor.h"

#include "absl/container/flat_hash_set.h"
#include "absl/strings/ascii.h"

#include <fmt/format.h>

#include <utility>

namespace vanillayard {

static constexpr absl::Duration ProbeInterval = absl::Seconds(1);
// Limits of one write call of the key-value service.
static constexpr size_t MaxBatchWrites = 100;
static constexpr size_t MaxBatchBytes = 1 << 20;
static constexpr int MaxWriteTries = 2;

// Percent-encodes a segment of a claim's key, so that different pairs of
// account and idempotency key never map to the same claim.
static std::string escape(const std::string &Segment) {
  std::string Out;
  for (char C : Segment) {
    auto Byte = static_cast<unsigned char>(C);
    if (absl::ascii_isalnum(Byte) || C == '-' || C == '_')
      Out += C;
    else
      Out += fmt::format("%{:02x}", Byte);
  }
  return Out;
}

static absl::Status unavailable() {
  return makeError(ErrorKind::PlatformUnavailable,
                   "the key-value service does not answer", ProbeInterval);
}

ClaimStore::ClaimStore(Executor &Exec, Store &Backend,
                       absl::Duration CallTimeout)
    : Exec(Exec), Backend(Backend), CallTimeout(CallTimeout) {}

ClaimStore::~ClaimStore() = default;

std::string ClaimStore::keyOf(const ClientAccountId &Account,
                              const std::string &IdempotencyKey) {
  return fmt::format("/vanillayard/claims/{}/{}", escape(Account.str()),
                     escape(IdempotencyKey));
}

bool ClaimStore::isAvailable() const {
  return !this->Down || this->Exec.now() >= this->ProbeAt;
}

void ClaimStore::recordCallResult(bool Succeeded) {
  this->Down = !Succeeded;
  if (this->Down)
    this->ProbeAt = this->Exec.now() + ProbeInterval;
}

template <typename Result>
std::function<void(absl::StatusOr<Result>)>
ClaimStore::withTimeout(std::function<void(absl::StatusOr<Result>)> Done) {
  struct Call {
    std::function<void(absl::StatusOr<Result>)> Done;
    Executor::TimerId Timer = 0;
  };
  auto Open = std::make_shared<Call>();
  Open->Done = std::move(Done);
  auto Finish = [this, Open, WeakAlive = std::weak_ptr<bool>(this->Alive)](
                    absl::StatusOr<Result> Value) {
    if (WeakAlive.expired() || !Open->Done)
      return;
    this->Exec.cancel(Open->Timer);
    this->recordCallResult(Value.ok());
    std::exchange(Open->Done, nullptr)(std::move(Value));
  };
  Open->Timer = this->Exec.runAfter(this->CallTimeout,
                                    [Finish] { Finish(unavailable()); });
  return Finish;
}

void ClaimStore::find(const std::string &Key, FindCallback Done) {
  if (!this->isAvailable()) {
    this->Exec.post(
        [Done = std::move(Done), WeakAlive = std::weak_ptr<bool>(this->Alive)] {
          if (!WeakAlive.expired())
            Done(unavailable());
        });
    return;
  }
  // While the store is down, only one read per interval probes it.
  if (this->Down)
    this->ProbeAt = this->Exec.now() + ProbeInterval;
  this->Backend.get(
      Key, this->withTimeout<RangeResult>(
               [Done = std::move(Done)](absl::StatusOr<RangeResult> Read) {
                 if (!Read.ok())
                   return Done(unavailable());
                 if (Read->Values.empty())
                   return Done(std::optional<StoredClaim>());
                 const StoredValue &Value = Read->Values.front();
                 auto Record = ClaimRecord::fromJson(Value.Value);
                 if (!Record.ok())
                   return Done(Record.status());
                 Done(std::optional<StoredClaim>(
                     StoredClaim{*std::move(Record), Value.ModRevision}));
               }));
}

void ClaimStore::put(const std::string &Key, int64_t ExpectedModRevision,
                     const ClaimRecord &Record, PutCallback Done) {
  this->Pending.push_back(
      {{Key, ExpectedModRevision, Record.toJson(), false}, std::move(Done)});
  this->flush();
}

void ClaimStore::flush() {
  if (this->WriteInFlight || this->Pending.empty())
    return;
  auto Next = std::make_shared<std::vector<PendingWrite>>();
  std::vector<ConditionalWrite> Writes;
  std::vector<PendingWrite> Later;
  absl::flat_hash_set<std::string> Keys;
  size_t Bytes = 0;
  for (PendingWrite &P : this->Pending) {
    bool Fits =
        Writes.empty() || (Writes.size() < MaxBatchWrites &&
                           Bytes + P.Write.Value.size() <= MaxBatchBytes);
    if (!Fits || !Keys.insert(P.Write.Key).second) {
      Later.push_back(std::move(P));
      continue;
    }
    Bytes += P.Write.Value.size();
    Writes.push_back(P.Write);
    Next->push_back(std::move(P));
  }
  this->Pending = std::move(Later);
  this->WriteInFlight = true;
  ++this->Writes;
  this->Backend.write(
      std::move(Writes),
      this->withTimeout<std::vector<WriteResult>>(
          [this, Next](absl::StatusOr<std::vector<WriteResult>> Results) {
            this->WriteInFlight = false;
            this->onWritten(Next, std::move(Results));
            this->flush();
          }));
}

void ClaimStore::reportConflict(const PendingWrite &Refused,
                                const std::string &FoundValue,
                                int64_t ModRevision) {
  PutResult Result;
  if (!FoundValue.empty()) {
    auto Record = ClaimRecord::fromJson(FoundValue);
    if (!Record.ok())
      return Refused.Done(Record.status());
    Result.Existing = StoredClaim{*std::move(Record), ModRevision};
  }
  Refused.Done(std::move(Result));
}

void ClaimStore::onWritten(const Batch &Written,
                           absl::StatusOr<std::vector<WriteResult>> Results) {
  if (!Results.ok() || Results->size() != Written->size()) {
    for (PendingWrite &P : *Written)
      this->readBack(std::move(P));
    return;
  }
  for (size_t I = 0; I < Written->size(); ++I) {
    const WriteResult &Result = (*Results)[I];
    const PendingWrite &P = (*Written)[I];
    // Each attempt writes a unique value. If the conflicting value is this one,
    // an earlier write of it took effect although its answer was lost.
    if (Result.Applied || Result.FoundValue == P.Write.Value)
      P.Done(PutResult{true, Result.ModRevision, std::nullopt});
    else
      reportConflict(P, Result.FoundValue, Result.ModRevision);
  }
}

void ClaimStore::readBack(PendingWrite Failed) {
  std::string Key = Failed.Write.Key;
  auto Shared = std::make_shared<PendingWrite>(std::move(Failed));
  this->Backend.get(Key, this->withTimeout<RangeResult>(
                             [this, Shared](absl::StatusOr<RangeResult> Read) {
                               if (!Read.ok())
                                 return Shared->Done(unavailable());
                               this->resolveFailedWrite(std::move(*Shared),
                                                        *Read);
                             }));
}

void ClaimStore::resolveFailedWrite(PendingWrite Failed,
                                    const RangeResult &Read) {
  static const StoredValue Absent;
  const StoredValue &Now = Read.Values.empty() ? Absent : Read.Values.front();
  if (Now.Value == Failed.Write.Value)
    return Failed.Done(PutResult{true, Now.ModRevision, std::nullopt});
  if (Now.ModRevision != Failed.Write.ExpectedModRevision)
    return reportConflict(Failed, Now.Value, Now.ModRevision);
  if (++Failed.Tries >= MaxWriteTries)
    return Failed.Done(unavailable());
  // The first write may still take effect. The repeated write then fails its
  // revision check and finds its own value.
  this->Pending.push_back(std::move(Failed));
  this->flush();
}

} // namespace vanillayard
