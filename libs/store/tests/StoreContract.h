#ifndef VANILLAYARD_STORE_TESTS_STORECONTRACT_H
#define VANILLAYARD_STORE_TESTS_STORECONTRACT_H

#include "store/Store.h"

#include <gtest/gtest.h>

#include <functional>
#include <memory>

namespace vanillayard {

/// A store under test, with functions that inject faults.
class StoreEnvironment {
public:
  virtual ~StoreEnvironment() = default;

  virtual Store &store() = 0;
  /// Runs the executor until \p Condition holds. \returns false if it does not
  /// hold within a time limit that only a failing test reaches.
  virtual bool waitFor(std::function<bool()> Condition) = 0;
  /// While down, calls fail and watches end with an error.
  virtual void setDown(bool Value) = 0;
  /// The next write takes effect and its answer is lost.
  virtual void loseNextAnswer() = 0;
  /// Ends all open watches with an error.
  virtual void breakWatches() = 0;
};

using StoreEnvironmentFactory =
    std::function<std::unique_ptr<StoreEnvironment>()>;

/// Tests that every implementation of Store must pass.
class StoreContractTest
    : public testing::TestWithParam<StoreEnvironmentFactory> {
protected:
  void SetUp() override { this->Env = this->GetParam()(); }

  absl::StatusOr<RangeResult> get(const std::string &Key);
  absl::StatusOr<RangeResult> list(const std::string &Prefix);
  absl::StatusOr<std::vector<WriteResult>>
  write(std::vector<ConditionalWrite> Writes);

  std::unique_ptr<StoreEnvironment> Env;
};

} // namespace vanillayard

#endif
