#ifndef VANILLAYARD_CONFIG_TESTS_DOCUMENTFAULTS_H
#define VANILLAYARD_CONFIG_TESTS_DOCUMENTFAULTS_H

#include "absl/status/status.h"

#include <functional>
#include <string>

namespace vanillayard {

/// Reads a file of the samples folder.
std::string readSample(const std::string &Name);

using ParseDocument = std::function<absl::Status(const std::string &Text)>;

/// Makes every value of \p Sample wrong in several ways, one at a time, and
/// expects that \p Parse refuses the document by a message with the path, the
/// bound and the unit.
void expectEveryFaultRefused(const std::string &Sample,
                             const ParseDocument &Parse);

} // namespace vanillayard

#endif
