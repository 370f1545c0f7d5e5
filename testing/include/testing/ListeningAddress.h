#ifndef VANILLAYARD_TESTING_LISTENINGADDRESS_H
#define VANILLAYARD_TESTING_LISTENINGADDRESS_H

#include "base/Ids.h"

#include <string>

namespace vanillayard {

/// An address that a program says it listens on.
struct ListeningAddress {
  Endpoint Address;
  /// What listens there, or empty.
  std::string Name;
};

} // namespace vanillayard

#endif
