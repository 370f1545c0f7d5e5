#ifndef VANILLAYARD_OBSERVE_TESTS_ALLOCATIONCOUNT_H
#define VANILLAYARD_OBSERVE_TESTS_ALLOCATIONCOUNT_H

#include <cstddef>

/// Number of calls of operator new since the start of this program.
size_t allocationCount();

#endif
