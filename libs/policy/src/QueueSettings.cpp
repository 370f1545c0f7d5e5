#include "policy/QueueSettings.h"

#include "config/Configuration.h"

namespace vanillayard {

const QueueSettings::KindSettings &
QueueSettings::kind(const KindOfWorkId &Kind) const {
  static const KindSettings Default;
  auto Found = this->Kinds.find(Kind);
  return Found == this->Kinds.end() ? Default : Found->second;
}

const QueueSettings::AccountSettings &
QueueSettings::account(const ClientAccountId &Account) const {
  static const AccountSettings Default;
  auto Found = this->Accounts.find(Account);
  return Found == this->Accounts.end() ? Default : Found->second;
}

QueueSettings QueueSettings::fromConfiguration(const Configuration &Config) {
  QueueSettings Settings;
  Settings.MaxQueued = static_cast<size_t>(Config.Bounds.MaxQueued);
  for (const ClientAccount &Account : Config.Accounts)
    Settings.Accounts[Account.Name] = {Account.Weight,
                                       static_cast<size_t>(Account.MaxQueued)};
  for (const KindOfWork &Kind : Config.Kinds)
    Settings.Kinds[Kind.Name] = {1, Kind.UrgencyLevel == Urgency::Urgent,
                                 Kind.UrgencyLevel == Urgency::Deferrable};
  for (const Preset &Candidate : Config.Presets) {
    if (Candidate.Name != Config.PresetInForce)
      continue;
    Settings.AdmitDeferrable = Candidate.AdmitDeferrable;
    for (const auto &[Kind, Weight] : Candidate.KindWeights)
      Settings.Kinds[Kind].Weight = Weight;
  }
  return Settings;
}

} // namespace vanillayard
