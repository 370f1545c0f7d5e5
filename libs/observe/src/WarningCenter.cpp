#include "observe/WarningCenter.h"

#include <algorithm>
#include <utility>

namespace vanillayard {

WarningCenter::WarningCenter(Executor &Exec, Listener OnIssued)
    : Exec(Exec), OnIssued(std::move(OnIssued)) {}

WarningCenter::~WarningCenter() {
  for (auto &[Key, E] : this->Entries)
    this->Exec.cancel(E.Timer);
}

void WarningCenter::raise(const WarningKey &Key, std::string Detail) {
  auto [Position, Inserted] = this->Entries.try_emplace(Key);
  Entry &E = Position->second;
  E.Report.Detail = std::move(Detail);
  if (!Inserted)
    return;
  E.Report.Key = Key;
  E.Report.Since = this->Exec.now();
  if (this->isIssuedElsewhere(Key))
    E.Progress = Stage::IssuedElsewhere;
  else
    this->restartHoldTimer(Key, E);
}

void WarningCenter::clear(const WarningKey &Key) {
  auto Found = this->Entries.find(Key);
  if (Found == this->Entries.end())
    return;
  this->Exec.cancel(Found->second.Timer);
  this->Entries.erase(Found);
  this->restartEffectTimers(Key.Condition);
}

void WarningCenter::setRemoteWarnings(const HostId &Host,
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
    Found->second.Progress = Stage::IssuedElsewhere;
  }
  for (const WarningKey &Key : Ended)
    this->restartEffectTimers(Key.Condition);
}

std::vector<WarningKey> WarningCenter::announcedKeys() const {
  std::vector<WarningKey> Keys;
  for (const auto &[Key, E] : this->Entries)
    if (E.Progress != Stage::Waiting)
      Keys.push_back(Key);
  return Keys;
}

std::vector<Warning> WarningCenter::activeWarnings() const {
  std::vector<Warning> Warnings;
  for (const auto &[Key, E] : this->Entries)
    if (E.Progress == Stage::Issued)
      Warnings.push_back(E.Report);
  return Warnings;
}

void WarningCenter::restartHoldTimer(const WarningKey &Key, Entry &E) {
  this->Exec.cancel(E.Timer);
  absl::Duration HoldTime =
      warningRuleFor(Key.Condition).HoldTime + this->HostRank * RankDelay;
  E.Timer = this->Exec.runAfter(HoldTime,
                                [this, Key] { this->onHoldTimeElapsed(Key); });
}

void WarningCenter::onHoldTimeElapsed(const WarningKey &Key) {
  Entry &E = this->Entries.find(Key)->second;
  E.Timer = 0;
  // restartEffectTimers() restarts the hold time when the cause ends.
  if (this->isExplained(warningRuleFor(Key.Condition)))
    return;
  E.Progress = Stage::Issued;
  E.Report.IssuedAt = this->Exec.now();
  Warning Report = E.Report;
  this->OnIssued(Report);
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

bool WarningCenter::isIssuedElsewhere(const WarningKey &Key) const {
  return std::any_of(this->Remote.begin(), this->Remote.end(),
                     [&](const auto &R) { return R.second.count(Key) > 0; });
}

// Restarts the hold times of the conditions that Cause explains: an effect may
// take as long to clear after its cause as it may without one.
void WarningCenter::restartEffectTimers(WarningCondition Cause) {
  for (auto &[Key, E] : this->Entries) {
    const WarningRule &Rule = warningRuleFor(Key.Condition);
    bool IsEffect = std::find(Rule.Causes.begin(), Rule.Causes.end(), Cause) !=
                    Rule.Causes.end();
    if (IsEffect && E.Progress == Stage::Waiting)
      this->restartHoldTimer(Key, E);
  }
}

} // namespace vanillayard
