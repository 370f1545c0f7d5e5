#include "base/Digest.h"

#include "absl/strings/escaping.h"

#include <openssl/sha.h>

namespace vanillayard {

std::string sha256Hex(std::string_view Data) {
  unsigned char Hash[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char *>(Data.data()), Data.size(),
         Hash);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char *>(Hash), sizeof(Hash)));
}

} // namespace vanillayard
