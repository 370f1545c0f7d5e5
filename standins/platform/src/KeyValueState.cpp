#include "standin_platform/KeyValueState.h"

#include <utility>

namespace vanillayard {

static const std::string &noUpperBound() {
  static const std::string Value(1, '\0');
  return Value;
}

bool KeyRange::contains(const std::string &Other) const {
  if (this->End.empty())
    return Other == this->Key;
  return Other >= this->Key &&
         (this->End == noUpperBound() || Other < this->End);
}

// Reverts the changes after AtRevision in a copy of the current values.
std::map<std::string, KeyValue>
KeyValueState::valuesAt(int64_t AtRevision) const {
  std::map<std::string, KeyValue> Result = this->Values;
  for (auto It = this->History.rbegin();
       It != this->History.rend() && It->After.ModRevision > AtRevision; ++It)
    if (It->Before)
      Result[It->After.Key] = *It->Before;
    else
      Result.erase(It->After.Key);
  return Result;
}

std::vector<KeyValue> KeyValueState::range(const KeyRange &Range,
                                           int64_t AtRevision) const {
  std::map<std::string, KeyValue> Old;
  bool IsPresent = AtRevision <= 0 || AtRevision >= this->Revision;
  if (!IsPresent)
    Old = this->valuesAt(AtRevision);
  const std::map<std::string, KeyValue> &From = IsPresent ? this->Values : Old;
  std::vector<KeyValue> Result;
  for (auto It = From.lower_bound(Range.Key);
       It != From.end() && Range.contains(It->first); ++It)
    Result.push_back(It->second);
  return Result;
}

std::optional<KeyValue> KeyValueState::get(const std::string &Key) const {
  auto Found = this->Values.find(Key);
  if (Found == this->Values.end())
    return std::nullopt;
  return Found->second;
}

void KeyValueState::begin() {
  this->Uncommitted.clear();
}

void KeyValueState::put(const std::string &Key, const std::string &Value,
                        int64_t Lease) {
  KeyEvent Event;
  Event.Before = this->get(Key);
  KeyValue &After = Event.After;
  After.Key = Key;
  After.Value = Value;
  After.ModRevision = this->Revision + 1;
  After.CreateRevision =
      Event.Before ? Event.Before->CreateRevision : After.ModRevision;
  After.Version = Event.Before ? Event.Before->Version + 1 : 1;
  After.Lease = Lease;
  this->Values[Key] = After;
  this->Uncommitted.push_back(std::move(Event));
}

std::vector<KeyValue> KeyValueState::erase(const KeyRange &Range) {
  std::vector<KeyValue> Deleted = this->range(Range);
  for (const KeyValue &Old : Deleted) {
    KeyEvent Event;
    Event.Deleted = true;
    Event.After.Key = Old.Key;
    Event.After.ModRevision = this->Revision + 1;
    Event.Before = Old;
    this->Values.erase(Old.Key);
    this->Uncommitted.push_back(std::move(Event));
  }
  return Deleted;
}

void KeyValueState::commit() {
  if (this->Uncommitted.empty())
    return;
  ++this->Revision;
  std::vector<KeyEvent> Events = std::move(this->Uncommitted);
  this->Uncommitted.clear();
  this->History.insert(this->History.end(), Events.begin(), Events.end());
  while (this->History.size() > MaxHistory) {
    this->CompactRevision = this->History.front().After.ModRevision + 1;
    this->History.pop_front();
  }
  if (this->Changed)
    this->Changed(Events);
}

std::vector<KeyEvent> KeyValueState::eventsSince(int64_t FromRevision) const {
  auto It = this->History.end();
  while (It != this->History.begin() &&
         std::prev(It)->After.ModRevision >= FromRevision)
    --It;
  return {It, this->History.end()};
}

} // namespace vanillayard
