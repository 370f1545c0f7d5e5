#include "store/testing/FakeStoreData.h"

#include <utility>

namespace vanillayard {

static bool hasPrefix(const std::string &Key, const std::string &Prefix) {
  return Key.compare(0, Prefix.size(), Prefix) == 0;
}

std::map<std::string, StoredValue>
FakeStoreData::valuesAt(int64_t AtRevision) const {
  std::map<std::string, StoredValue> Result;
  for (const WatchEvent &Event : this->History) {
    if (Event.Value.ModRevision > AtRevision)
      break;
    if (Event.Deleted)
      Result.erase(Event.Value.Key);
    else
      Result[Event.Value.Key] = Event.Value;
  }
  return Result;
}

static void collect(const std::map<std::string, StoredValue> &Values,
                    const std::string &Prefix, RangeResult &Result) {
  for (auto It = Values.lower_bound(Prefix);
       It != Values.end() && hasPrefix(It->first, Prefix); ++It)
    Result.Values.push_back(It->second);
}

RangeResult FakeStoreData::list(const std::string &Prefix,
                                int64_t AtRevision) const {
  RangeResult Result;
  Result.Revision = AtRevision;
  if (AtRevision == this->Revision)
    collect(this->Values, Prefix, Result);
  else
    collect(this->valuesAt(AtRevision), Prefix, Result);
  return Result;
}

RangeResult FakeStoreData::get(const std::string &Key,
                               int64_t AtRevision) const {
  RangeResult Result = this->list(Key, AtRevision);
  // A key sorts before all other keys that start with it.
  if (!Result.Values.empty() && Result.Values.front().Key != Key)
    Result.Values.clear();
  if (Result.Values.size() > 1)
    Result.Values.resize(1);
  return Result;
}

WriteResult FakeStoreData::applyWrite(const ConditionalWrite &Write) {
  WriteResult Result;
  auto Found = this->Values.find(Write.Key);
  bool Exists = Found != this->Values.end();
  Result.ModRevision = Exists ? Found->second.ModRevision : 0;
  Result.Applied = Result.ModRevision == Write.ExpectedModRevision;
  if (!Result.Applied) {
    if (Exists)
      Result.FoundValue = Found->second.Value;
    return Result;
  }
  Result.ModRevision = this->Revision + 1;
  StoredValue Value{Write.Key, Write.Delete ? "" : Write.Value,
                    Result.ModRevision};
  if (!Write.Delete)
    this->Values[Write.Key] = Value;
  else if (Exists)
    this->Values.erase(Found);
  else
    return Result;
  this->History.push_back({std::move(Value), Write.Delete});
  return Result;
}

std::vector<WriteResult>
FakeStoreData::apply(const std::vector<ConditionalWrite> &Writes) {
  std::vector<WriteResult> Results;
  Results.reserve(Writes.size());
  size_t Before = this->History.size();
  for (const ConditionalWrite &Write : Writes)
    Results.push_back(this->applyWrite(Write));
  if (this->History.size() == Before)
    return Results;
  ++this->Revision;
  std::vector<WatchEvent> Events(this->History.begin() +
                                     static_cast<ptrdiff_t>(Before),
                                 this->History.end());
  std::map<ListenerId, Listener> Current = this->Listeners;
  for (const auto &[Id, Changed] : Current)
    Changed(Events);
  return Results;
}

std::vector<WatchEvent>
FakeStoreData::changesSince(const std::string &Prefix,
                            int64_t FromRevision) const {
  std::vector<WatchEvent> Result;
  for (const WatchEvent &Event : this->History)
    if (Event.Value.ModRevision >= FromRevision &&
        hasPrefix(Event.Value.Key, Prefix))
      Result.push_back(Event);
  return Result;
}

FakeStoreData::ListenerId FakeStoreData::addListener(Listener Changed) {
  ListenerId Id = this->NextListener++;
  this->Listeners.emplace(Id, std::move(Changed));
  return Id;
}

void FakeStoreData::removeListener(ListenerId Id) {
  this->Listeners.erase(Id);
}

int64_t FakeStoreData::put(const std::string &Key, const std::string &Value) {
  auto Found = this->read(Key);
  this->apply({{Key, Found ? Found->ModRevision : 0, Value, false}});
  return this->Revision;
}

void FakeStoreData::erase(const std::string &Key) {
  if (auto Found = this->read(Key))
    this->apply({{Key, Found->ModRevision, "", true}});
}

std::optional<StoredValue> FakeStoreData::read(const std::string &Key) const {
  auto Found = this->Values.find(Key);
  if (Found == this->Values.end())
    return std::nullopt;
  return Found->second;
}

} // namespace vanillayard
