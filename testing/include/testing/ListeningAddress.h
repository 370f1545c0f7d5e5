#ifndef VANILLAYARD_TESTING_LISTENINGADDRESS_H
#define VANILLAYARD_TESTING_LISTENINGADDRESS_H

#include "base/Ids.h"

#include <string>

namespace vanillayard {

/// An address on which a program listens, as it prints it at its start.
struct ListeningAddress {
  Endpoint Address;
  /// Name of the listener, such as "admin"; empty if the program prints none.
  std::string Name;
};

} // namespace vanillayard

#endif
