#include "FakeStore.h"

#include "base/ErrorKind.h"

namespace vanillayard {

static constexpr absl::Duration LateWriteDelay = absl::Seconds(3);

RangeResult FakeStore::read(const std::string &Key) {
  ++this->Reads;
  const Data &From = this->chance(this->Fault.StaleRead) ? this->PreviousData
                                                         : this->CurrentData;
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
  this->PreviousData = this->CurrentData;
  std::vector<WriteResult> Results;
  for (const ConditionalWrite &W : Writes) {
    auto Found = this->CurrentData.find(W.Key);
    int64_t Revision =
        Found == this->CurrentData.end() ? 0 : Found->second.ModRevision;
    if (Revision != W.ExpectedModRevision) {
      Results.push_back({false, Revision, Revision ? Found->second.Value : ""});
      continue;
    }
    ++this->Revision;
    this->CurrentData[W.Key] = {W.Key, W.Value, this->Revision};
    Results.push_back({true, this->Revision, ""});
  }
  return Results;
}

static absl::Status unavailable() {
  return makeError(ErrorKind::PlatformUnavailable, "the fake store is down");
}

void FakeStoreClient::get(const std::string &Key, RangeCallback Done) {
  this->Service.VirtualExec.runAfter(this->Service.Fault.Delay, [this, Key,
                                                                 Done] {
    if (this->Service.Fault.Down ||
        this->Service.chance(this->Service.Fault.LoseAnswer))
      return this->HostExec.post([Done] { Done(unavailable()); });
    this->HostExec.post([Done, Read = this->Service.read(Key)] { Done(Read); });
  });
}

void FakeStoreClient::list(const std::string & /*Prefix*/, RangeCallback Done) {
  this->HostExec.post([Done] { Done(unavailable()); });
}

void FakeStoreClient::write(std::vector<ConditionalWrite> Writes,
                            WriteCallback Done) {
  this->Service.VirtualExec.runAfter(
      this->Service.Fault.Delay, [this, Writes, Done] {
        if (this->Service.Fault.Down)
          return this->HostExec.post([Done] { Done(unavailable()); });
        if (this->Service.chance(this->Service.Fault.LateWrite)) {
          this->Service.VirtualExec.runAfter(
              LateWriteDelay, [this, Writes] { this->Service.write(Writes); });
          return this->HostExec.post([Done] { Done(unavailable()); });
        }
        auto Results = this->Service.write(Writes);
        if (this->Service.chance(this->Service.Fault.LoseAnswer))
          return this->HostExec.post([Done] { Done(unavailable()); });
        this->HostExec.post([Done, Results] { Done(Results); });
      });
}

std::unique_ptr<StoreWatch>
FakeStoreClient::watch(const std::string & /*Prefix*/, int64_t /*FromRevision*/,
                       WatchCallback /*Changed*/, WatchEndCallback /*Ended*/) {
  return std::make_unique<StoreWatch>();
}

} // namespace vanillayard
