#include "load/Deployment.h"

#include <fmt/format.h>

namespace vanillayard {

int Deployment::hosts() const {
  int Sum = 0;
  for (const DataCentreSize &Size : this->DataCentres)
    Sum += Size.Hosts;
  return Sum;
}

int Deployment::workers() const {
  int Sum = 0;
  for (const DataCentreSize &Size : this->DataCentres)
    Sum += Size.Workers;
  return Sum;
}

double Deployment::entitledShareOf(const DeploymentKind &Kind) const {
  return Kind.Weight / (this->MostUrgent.Weight + this->Middle.Weight +
                        this->LeastUrgent.Weight);
}

static std::vector<ClientAccountId> accounts() {
  return {ClientAccountId("large-1"), ClientAccountId("large-2"),
          ClientAccountId("small-1"), ClientAccountId("small-2")};
}

static Deployment kalahari() {
  Deployment D;
  D.Name = "kalahari";
  D.DataCentres = {{DataCentreId("dc1"), 3, 13},
                   {DataCentreId("dc2"), 2, 13},
                   {DataCentreId("dc3"), 2, 12},
                   {DataCentreId("dc4"), 2, 12}};
  D.WorkersPerRack = 6;
  D.Accounts = accounts();
  D.MostUrgent = {KindOfWorkId("price-check"), 4, true};
  D.Middle = {KindOfWorkId("cut-sheet"), 2, false};
  D.LeastUrgent = {KindOfWorkId("photo-match"), 1, true};
  return D;
}

static Deployment swanbag() {
  Deployment D;
  D.Name = "swanbag";
  D.DataCentres = {{DataCentreId("dc1"), 3, 17},
                   {DataCentreId("dc2"), 3, 17},
                   {DataCentreId("dc3"), 2, 16}};
  D.WorkersPerRack = 8;
  D.Accounts = accounts();
  D.MostUrgent = {KindOfWorkId("quick-proof"), 4, false};
  D.Middle = {KindOfWorkId("separation"), 2, false};
  // The requirements name two kinds of short work for Swanbag; previews
  // represent the rest of its work.
  D.LeastUrgent = {KindOfWorkId("preview"), 1, true};
  return D;
}

/// One data centre that fits on a laptop, for trial runs of an experiment.
static Deployment small() {
  Deployment D = kalahari();
  D.Name = "small";
  D.DataCentres = {{DataCentreId("dc1"), 2, 6}};
  D.WorkersPerRack = 3;
  return D;
}

absl::StatusOr<Deployment> Deployment::named(std::string_view Name) {
  for (const Deployment &D : {kalahari(), swanbag(), small()})
    if (D.Name == Name)
      return D;
  return absl::NotFoundError(fmt::format(
      "no deployment named {}; expected kalahari, swanbag or small", Name));
}

} // namespace vanillayard
