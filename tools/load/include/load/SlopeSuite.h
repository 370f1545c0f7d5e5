#ifndef VANILLAYARD_LOAD_SLOPESUITE_H
#define VANILLAYARD_LOAD_SLOPESUITE_H

#include "load/BlockingHttp.h"
#include "load/FleetBed.h"
#include "load/SlopeResult.h"

#include "absl/status/status.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillayard {

/// Measures how control costs and reaction times grow with the size of a data
/// centre, at four sizes each.
class SlopeSuite {
public:
  struct Options {
    /// Time over which an idle host is observed, for each size. The kernel
    /// counts processor time in steps of 10 ms.
    absl::Duration ObservationTime = absl::Seconds(10);
    /// Receives one line for each size.
    std::function<void(const std::string &)> Progress;
  };

  SlopeSuite(FleetBedFactory &Factory, Options How)
      : Factory(Factory), How(std::move(How)) {}

  /// Measures the part \p Part: "costs", "configuration", "rebuild",
  /// "reclaim" or "all". A measurement that fails is reported by Progress and
  /// left out. \returns the first failure, InvalidArgument for another part.
  absl::Status run(const std::string &Part);

  const std::vector<SlopeResult> &results() const { return this->Results; }

private:
  static constexpr absl::Duration SettleTime = absl::Seconds(4);
  static constexpr absl::Duration WaitLimit = absl::Seconds(60);
  static constexpr absl::Duration PollInterval = absl::Milliseconds(20);
  static constexpr int ConfigurationChanges = 5;

  struct IdleCost {
    double ProcessorMsPerSecond = 0;
    double ResidentMiB = 0;
    double SentBytesPerSecond = 0;
    double ReceivedBytesPerSecond = 0;
  };

  /// One series of idle costs, against the size that \p Sized sets.
  absl::Status measureIdle(const std::string &Size,
                           const std::vector<int> &Values,
                           void (*Sized)(FleetSize &, int));
  absl::Status measureRunningJobs();
  absl::Status measureConfiguration(const std::string &Size,
                                    const std::vector<int> &Values,
                                    void (*Sized)(FleetSize &, int));
  absl::Status measureRebuild();
  absl::Status measureReclaim();

  absl::StatusOr<IdleCost> observe(FleetBed &Bed);
  void addCost(const std::string &Size, int X, const IdleCost &Cost);
  void addPoint(const std::string &Quantity, const std::string &Unit,
                const std::string &Size, double X, double Y);

  /// Submits one job of whole workers or single accelerators.
  absl::StatusOr<std::string> submit(FleetBed &Bed, const std::string &Account,
                                     int Accelerators, absl::Duration RunTime);
  absl::Status submitMany(FleetBed &Bed, int Count, const std::string &Account,
                          int Accelerators);
  /// Index of the planner whose state has \p Jobs running jobs, or -1.
  int plannerWith(FleetBed &Bed, int Jobs, int Except);
  absl::Status waitUntil(const std::string &What,
                         const std::function<bool()> &Condition);
  bool allHave(FleetBed &Bed, int64_t Generation);

  FleetBedFactory &Factory;
  Options How;
  BlockingHttp Http;
  std::vector<SlopeResult> Results;
  int NextJob = 0;
};

} // namespace vanillayard

#endif
