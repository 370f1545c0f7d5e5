#include "EndpointCheck.h"

#include "absl/strings/numbers.h"

#include <arpa/inet.h>

namespace vanillayard {

bool isIpEndpoint(const std::string &Text, int MinPort) {
  static constexpr int MaxPort = 65535;
  size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos || Colon == 0)
    return false;
  std::string PortText = Text.substr(Colon + 1);
  int Port = 0;
  if (PortText.empty() ||
      PortText.find_first_not_of("0123456789") != std::string::npos ||
      !absl::SimpleAtoi(PortText, &Port) || Port < MinPort || Port > MaxPort)
    return false;
  std::string Address = Text.substr(0, Colon);
  unsigned char Buffer[sizeof(in6_addr)];
  if (Address.size() > 2 && Address.front() == '[' && Address.back() == ']')
    return inet_pton(AF_INET6, Address.substr(1, Address.size() - 2).c_str(),
                     Buffer) == 1;
  return inet_pton(AF_INET, Address.c_str(), Buffer) == 1;
}

} // namespace vanillayard
