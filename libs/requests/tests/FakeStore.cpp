#include "FakeStore.h"

#include "base/ErrorKind.h"

namespace vanillayard {

static constexpr absl::Duration LateBy = absl::Seconds(3);

RangeResult FakeStore::read(const std::string &Key) {
  ++this->Reads;
  const Data &From =
      this->chance(this->Fault.StaleRead) ? this->Before : this->Now;
  RangeResult Result;
  Result.Revision = this->Revision;
  auto Found = From.find(Key);
  if (Found != From.end())
    Result.Values.push_back(Found->second);
  return Result;
}

std::vector<WriteResult>
FakeStore::write(const std::vector<ConditionalWrite> &Writes) {
  ++this->Writes;
  this->Before = this->Now;
  std::vector<WriteResult> Results;
  for (const ConditionalWrite &W : Writes) {
    auto Found = this->Now.find(W.Key);
    int64_t Revision = Found == this->Now.end() ? 0 : Found->second.ModRevision;
    if (Revision != W.ExpectedModRevision) {
      Results.push_back({false, Revision, Revision ? Found->second.Value : ""});
      continue;
    }
    ++this->Revision;
    this->Now[W.Key] = {W.Key, W.Value, this->Revision};
    Results.push_back({true, this->Revision, ""});
  }
  return Results;
}

static absl::Status unavailable() {
  return makeError(ErrorKind::PlatformUnavailable, "the fake store is down");
}

void FakeStoreClient::get(const std::string &Key, RangeCallback Done) {
  this->Service.World.runAfter(this->Service.Fault.Delay, [this, Key, Done] {
    if (this->Service.Fault.Down ||
        this->Service.chance(this->Service.Fault.LoseAnswer))
      return this->Host.post([Done] { Done(unavailable()); });
    this->Host.post([Done, Read = this->Service.read(Key)] { Done(Read); });
  });
}

void FakeStoreClient::list(const std::string & /*Prefix*/, RangeCallback Done) {
  this->Host.post([Done] { Done(unavailable()); });
}

void FakeStoreClient::write(std::vector<ConditionalWrite> Writes,
                            WriteCallback Done) {
  this->Service.World.runAfter(this->Service.Fault.Delay, [this, Writes, Done] {
    if (this->Service.Fault.Down)
      return this->Host.post([Done] { Done(unavailable()); });
    if (this->Service.chance(this->Service.Fault.LateWrite)) {
      this->Service.World.runAfter(
          LateBy, [this, Writes] { this->Service.write(Writes); });
      return this->Host.post([Done] { Done(unavailable()); });
    }
    auto Results = this->Service.write(Writes);
    if (this->Service.chance(this->Service.Fault.LoseAnswer))
      return this->Host.post([Done] { Done(unavailable()); });
    this->Host.post([Done, Results] { Done(Results); });
  });
}

std::unique_ptr<StoreWatch>
FakeStoreClient::watch(const std::string & /*Prefix*/, int64_t /*FromRevision*/,
                       WatchCallback /*Changed*/, WatchEndCallback /*Ended*/) {
  return std::make_unique<StoreWatch>();
}

} // namespace vanillayard
