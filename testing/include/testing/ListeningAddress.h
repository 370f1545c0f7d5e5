#ifndef VANILLAYARD_TESTING_LISTENINGADDRESS_H
#define VANILLAYARD_TESTING_LISTENINGADDRESS_H

#include "base/Ids.h"

#include <string>

namespace vanillayard {

/// One line "listening ADDRESS [NAME]" of a program's output.
struct ListeningAddress {
  Endpoint Address;
  /// What listens there, or empty.
  std::string Name;
};

} // namespace vanillayard

#endif
