#ifndef VANILLAYARD_LOAD_SLOPESUITE_H
#define VANILLAYARD_LOAD_SLOPESUITE_H

#include "load/BlockingHttp.h"
#include "load/DataCentreTestBed.h"
#include "load/SlopeResult.h"

#include "absl/status/status.h"

#include <functional>
#include <string>
#include <vector>

namespace vanillayard {

/// Measures how the hosts' resource usage and reaction times grow with the size
/// of a data centre, at four sizes each.
class SlopeSuite {
public:
  struct Options {
    /// Time over which the suite measures idle hosts, for each size. The kernel
    /// counts processor time in steps of 10 ms.
    absl::Duration ObservationTime = absl::Seconds(10);
    /// Receives one line for each size and for each measurement that fails.
    std::function<void(const std::string &)> Progress;
  };

  SlopeSuite(DataCentreTestBedFactory &Factory, Options RunOptions)
      : Factory(Factory), RunOptions(std::move(RunOptions)) {}

  /// Measures the part \p Part: "costs", "configuration", "rebuild",
  /// "reclaim" or "all". Reports a measurement that fails to Progress and goes
  /// on with the next one. \returns the first error; InvalidArgument for any
  /// other \p Part.
  absl::Status run(const std::string &Part);

  const std::vector<SlopeResult> &results() const { return this->Results; }

private:
  /// Time from the start of a test bed until its hosts count as idle.
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

  /// Measures the usage of idle hosts for each of \p Values, which \p SetSize
  /// stores in the size that varies. \p Size is the name of that size.
  absl::Status measureIdle(const std::string &Size,
                           const std::vector<int> &Values,
                           void (*SetSize)(DataCentreTestBedSize &, int));
  absl::Status measureRunningJobs();
  absl::Status
  measureConfiguration(const std::string &Size, const std::vector<int> &Values,
                       void (*SetSize)(DataCentreTestBedSize &, int));
  absl::Status measureRebuild();
  absl::Status measureReclaim();

  absl::StatusOr<IdleCost> measureIdleCost(DataCentreTestBed &Bed);
  void addCost(const std::string &Size, int X, const IdleCost &Cost);
  void addPoint(const std::string &Quantity, const std::string &Unit,
                const std::string &Size, double X, double Y);

  /// Submits one job without a gang. \returns the id of the job.
  absl::StatusOr<std::string> submitJob(DataCentreTestBed &Bed,
                                        const std::string &Account,
                                        int Accelerators,
                                        absl::Duration RunTime);
  absl::Status submitJobs(DataCentreTestBed &Bed, int Count,
                          const std::string &Account, int Accelerators);
  /// Index of the planner whose state has \p Jobs running jobs, or -1 if there
  /// is none. Skips the host with index \p Except.
  int findPlannerWithJobs(DataCentreTestBed &Bed, int Jobs, int Except);
  absl::Status waitUntil(const std::string &What,
                         const std::function<bool()> &Condition);
  bool allHostsHaveGeneration(DataCentreTestBed &Bed, int64_t Generation);

  DataCentreTestBedFactory &Factory;
  Options RunOptions;
  BlockingHttp Http;
  std::vector<SlopeResult> Results;
  int NextJob = 0;
};

} // namespace vanillayard

#endif
