#include "standin_worker/WorkerFaults.h"

namespace vanillayard {

bool WorkerFaults::consume(int &Counter) {
  if (Counter == 0)
    return false;
  if (Counter > 0)
    --Counter;
  return true;
}

} // namespace vanillayard
