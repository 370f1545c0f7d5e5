#include "observe/WarningCenter.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

WarningCenter::WarningCenter(Executor &Exec, Listener Given)
    : Exec(Exec), OnGiven(std::move(Given)) {}

WarningCenter::~WarningCenter() {
  for (auto &[Key, E] : this->Entries)
    this->Exec.cancel(E.Timer);
}

void WarningCenter::raise(const WarningKey &Key, std::string Detail) {
  auto [Place, Inserted] = this->Entries.try_emplace(Key);
  Entry &E = Place->second;
  E.Report.Detail = std::move(Detail);
  if (!Inserted)
    return;
  E.Report.Key = Key;
  E.Report.Since = this->Exec.now();
  if (this->isGivenElsewhere(Key))
    E.Progress = Stage::GivenElsewhere;
  else
    this->restartHold(Key, E);
}

void WarningCenter::clear(const WarningKey &Key) {
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  this->Exec.cancel(Found->second.Timer);
  this->Entries.erase(Found);
  this->restartEffectsOf(Key.Condition);
}

void WarningCenter::setRemote(const HostId &Host,
                              const std::vector<WarningKey> &Warnings) {
  std::set<WarningKey> Ended = std::exchange(this->Remote[Host], {});
  if (Warnings.empty())
    this->Remote.erase(Host);
  for (const WarningKey &Key : Warnings) {
    this->Remote[Host].insert(Key);
    Ended.erase(Key);
    auto Found = this->Entries.find(Key);
    if (Found == this->Entries.end() ||
        Found->second.Progress != Stage::Waiting)
      continue;
    this->Exec.cancel(Found->second.Timer);
    Found->second.Progress = Stage::GivenElsewhere;
  }
  for (const WarningKey &Key : Ended)
    this->restartEffectsOf(Key.Condition);
}

std::vector<WarningKey> WarningCenter::announced() const {
  std::vector<WarningKey> Keys;
  for (const auto &[Key, E] : this->Entries)
    if (E.Progress != Stage::Waiting)
      Keys.push_back(Key);
  return Keys;
}

std::vector<Warning> WarningCenter::active() const {
  std::vector<Warning> Warnings;
  for (const auto &[Key, E] : this->Entries)
    if (E.Progress == Stage::Given)
      Warnings.push_back(E.Report);
  return Warnings;
}

void WarningCenter::restartHold(const WarningKey &Key, Entry &E) {
  this->Exec.cancel(E.Timer);
  absl::Duration Hold =
      warningRuleFor(Key.Condition).Hold + this->Rank * RankDelay;
  E.Timer = this->Exec.runAfter(Hold, [this, Key] { this->holdEnded(Key); });
}

void WarningCenter::holdEnded(const WarningKey &Key) {
  Entry &E = this->Entries.find(Key)->second;
  E.Timer = 0;
  // The end of the cause restarts the time.
  if (this->isExplained(warningRuleFor(Key.Condition)))
    return;
  E.Progress = Stage::Given;
  E.Report.Given = this->Exec.now();
  Warning Report = E.Report;
  this->OnGiven(Report);
}

bool WarningCenter::isExplained(const WarningRule &Rule) const {
  return std::any_of(
      Rule.Causes.begin(), Rule.Causes.end(), [this](WarningCondition Cause) {
        auto IsCause = [Cause](const WarningKey &Key) {
          return Key.Condition == Cause;
        };
        return std::any_of(this->Entries.begin(), this->Entries.end(),
                           [&](const auto &E) { return IsCause(E.first); }) ||
               std::any_of(this->Remote.begin(), this->Remote.end(),
                           [&](const auto &R) {
                             return std::any_of(R.second.begin(),
                                                R.second.end(), IsCause);
                           });
      });
}

bool WarningCenter::isGivenElsewhere(const WarningKey &Key) const {
  return std::any_of(this->Remote.begin(), this->Remote.end(),
                     [&](const auto &R) { return R.second.count(Key) > 0; });
}

// An effect may take as long to clear after its cause as it may without one.
void WarningCenter::restartEffectsOf(WarningCondition Cause) {
  for (auto &[Key, E] : this->Entries) {
    const WarningRule &Rule = warningRuleFor(Key.Condition);
    bool IsEffect = std::find(Rule.Causes.begin(), Rule.Causes.end(), Cause) !=
                    Rule.Causes.end();
    if (IsEffect && E.Progress == Stage::Waiting)
      this->restartHold(Key, E);
  }
}

} // namespace vanillayard
