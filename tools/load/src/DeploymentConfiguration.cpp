#include "load/DeploymentConfiguration.h"

#include "load/Deployment.h"

#include <fmt/format.h>

namespace vanillayard {

static constexpr int LargeAccounts = 2;
static constexpr int LargeCell = Deployment::AcceleratorsPerWorker;
static constexpr int SmallCell = 2;

static KindOfWork kindOf(const DeploymentKind &From, Urgency UrgencyLevel) {
  KindOfWork Kind;
  Kind.Name = From.Name;
  Kind.UrgencyLevel = UrgencyLevel;
  Kind.RepeatableByDefault = From.Repeatable;
  return Kind;
}

static ClientAccount accountOf(const Deployment &Size, size_t Index) {
  ClientAccount Account;
  Account.Name = Size.Accounts[Index];
  for (const DataCentreSize &Centre : Size.DataCentres) {
    GuaranteedCells Cells;
    Cells.DataCentre = Centre.Name;
    Cells.AcceleratorsPerCell = Index < LargeAccounts ? LargeCell : SmallCell;
    Cells.Count = 1;
    Account.Guarantees.push_back(Cells);
  }
  return Account;
}

Configuration DeploymentConfiguration::make(const Deployment &Size,
                                            int ExtraAccounts) {
  Configuration Config;
  Config.Generation = 1;
  for (size_t I = 0; I < Size.Accounts.size(); ++I)
    Config.Accounts.push_back(accountOf(Size, I));
  for (int I = 0; I < ExtraAccounts; ++I) {
    ClientAccount Extra;
    Extra.Name = ClientAccountId(fmt::format("extra-{}", I));
    Config.Accounts.push_back(Extra);
  }
  Config.Kinds = {kindOf(Size.MostUrgent, Urgency::Urgent),
                  kindOf(Size.Middle, Urgency::Normal),
                  kindOf(Size.LeastUrgent, Urgency::Deferrable)};
  Preset Day;
  Day.Name = PresetId("ordinary");
  Day.UrgentReserve = UrgentReserve;
  for (const DeploymentKind &Kind :
       {Size.MostUrgent, Size.Middle, Size.LeastUrgent})
    Day.KindWeights[Kind.Name] = Kind.Weight;
  Config.Presets = {Day};
  Config.PresetInForce = Day.Name;
  return Config;
}

} // namespace vanillayard
