#include "fleet/WorkerRegistration.h"

#include <gtest/gtest.h>

using namespace vanillayard;

// Guards against an id that adds a header line to an order or a line to the
// record of workers, and against numbers that no worker can have.
TEST(WorkerRegistrationTest, OddValuesAreRefused) {
  WorkerRegistration Valid;
  Valid.Id = WorkerId("i-7f");
  Valid.Address = Endpoint("127.0.0.1:1");
  Valid.WorkerPool = "pool";
  Valid.Capacity = {16000, 32768, 8};
  Valid.Incarnation = 1700000000123;
  ASSERT_TRUE(validate(Valid).ok());
  for (const char *Id :
       {"", "a b", "a\r\nx: y", "a\nb", "\xff", "caf\xc3\xa9"}) {
    WorkerRegistration Odd = Valid;
    Odd.Id = WorkerId(Id);
    EXPECT_FALSE(validate(Odd).ok()) << Id;
  }
  WorkerRegistration Odd = Valid;
  Odd.Capacity.MemoryMib = Resources::MaxAmount + 1;
  EXPECT_FALSE(validate(Odd).ok());
  Odd = Valid;
  Odd.Capacity.Accelerators = -1;
  EXPECT_FALSE(validate(Odd).ok());
  Odd = Valid;
  Odd.Incarnation = WorkerRegistration::MaxIncarnation + 1;
  EXPECT_FALSE(validate(Odd).ok());
  Odd = Valid;
  Odd.Clock = absl::InfiniteDuration();
  EXPECT_FALSE(validate(Odd).ok());
  Odd = Valid;
  Odd.WorkerPool.clear();
  EXPECT_FALSE(validate(Odd).ok());
}
