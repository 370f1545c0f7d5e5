#include "net/Address.h"

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"

#include <arpa/inet.h>
#include <uv.h>

namespace vanillayard {

absl::StatusOr<sockaddr_in> parseAddress(const Endpoint &Text) {
  const std::string &Value = Text.str();
  size_t Colon = Value.rfind(':');
  int Port = 0;
  sockaddr_in Address = {};
  if (Colon == std::string::npos ||
      !absl::SimpleAtoi(Value.substr(Colon + 1), &Port) || Port < 0 ||
      Port > 65535 ||
      uv_ip4_addr(Value.substr(0, Colon).c_str(), Port, &Address) != 0)
    return absl::InvalidArgumentError(
        absl::StrCat("not an IP:port address: ", Value));
  return Address;
}

bool isConnectable(const Endpoint &Text) {
  absl::StatusOr<sockaddr_in> Address = parseAddress(Text);
  return Address.ok() && Address->sin_port != 0 &&
         Address->sin_addr.s_addr != INADDR_ANY;
}

Endpoint formatAddress(const sockaddr_in &Address) {
  char Name[INET_ADDRSTRLEN] = {};
  uv_ip4_name(&Address, Name, sizeof(Name));
  return Endpoint(absl::StrCat(Name, ":", ntohs(Address.sin_port)));
}

} // namespace vanillayard
