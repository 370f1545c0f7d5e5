#ifndef VANILLAYARD_CONFIG_TESTS_DOCUMENTMUTATIONS_H
#define VANILLAYARD_CONFIG_TESTS_DOCUMENTMUTATIONS_H

#include "absl/status/status.h"

#include <functional>
#include <string>

namespace vanillayard {

/// Reads a file of the samples folder.
std::string readSample(const std::string &Name);

using ParseDocument = std::function<absl::Status(const std::string &Text)>;

/// Replaces every value of \p Sample by several invalid ones, one at a time,
/// and expects that \p Parse refuses the document with a message that contains
/// the path, the bound and the unit.
void expectEveryMutationRefused(const std::string &Sample,
                                const ParseDocument &Parse);

} // namespace vanillayard

#endif
