#include "load/DeploymentConfiguration.h"

#include "load/Deployment.h"

#include <fmt/format.h>

namespace vanillayard {

static constexpr int LargeAccountCount = 2;
static constexpr int LargeAccountCellSize = Deployment::AcceleratorsPerWorker;
static constexpr int SmallAccountCellSize = 2;

static KindOfWork kindOf(const DeploymentKind &From, Urgency UrgencyLevel) {
  KindOfWork Kind;
  Kind.Name = From.Name;
  Kind.UrgencyLevel = UrgencyLevel;
  Kind.RepeatableByDefault = From.Repeatable;
  return Kind;
}

static ClientAccount accountOf(const Deployment &TestDeployment, size_t Index) {
  ClientAccount Account;
  Account.Name = TestDeployment.Accounts[Index];
  for (const DataCentreSize &Centre : TestDeployment.DataCentres) {
    GuaranteedCells Cells;
    Cells.DataCentre = Centre.Name;
    Cells.AcceleratorsPerCell =
        Index < LargeAccountCount ? LargeAccountCellSize : SmallAccountCellSize;
    Cells.Count = 1;
    Account.Guarantees.push_back(Cells);
  }
  return Account;
}

Configuration DeploymentConfiguration::make(const Deployment &TestDeployment,
                                            int ExtraAccounts) {
  Configuration Config;
  Config.Generation = 1;
  for (size_t I = 0; I < TestDeployment.Accounts.size(); ++I)
    Config.Accounts.push_back(accountOf(TestDeployment, I));
  for (int I = 0; I < ExtraAccounts; ++I) {
    ClientAccount Extra;
    Extra.Name = ClientAccountId(fmt::format("extra-{}", I));
    Config.Accounts.push_back(Extra);
  }
  Config.Kinds = {kindOf(TestDeployment.MostUrgent, Urgency::Urgent),
                  kindOf(TestDeployment.Middle, Urgency::Normal),
                  kindOf(TestDeployment.LeastUrgent, Urgency::Deferrable)};
  Preset DefaultPreset;
  DefaultPreset.Name = PresetId("ordinary");
  DefaultPreset.UrgentReserve = UrgentReserve;
  for (const DeploymentKind &Kind :
       {TestDeployment.MostUrgent, TestDeployment.Middle,
        TestDeployment.LeastUrgent})
    DefaultPreset.KindWeights[Kind.Name] = Kind.Weight;
  Config.Presets = {DefaultPreset};
  Config.PresetInForce = DefaultPreset.Name;
  return Config;
}

} // namespace vanillayard
