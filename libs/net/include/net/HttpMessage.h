#ifndef VANILLAYARD_NET_HTTPMESSAGE_H
#define VANILLAYARD_NET_HTTPMESSAGE_H

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace vanillayard {

/// Header fields in the order of the message. Names are compared without
/// regard to case.
class HttpHeaders {
public:
  void add(std::string Name, std::string Value);
  /// Value of the first field called \p Name, or an empty view.
  std::string_view get(std::string_view Name) const;
  bool has(std::string_view Name) const;
  const std::vector<std::pair<std::string, std::string>> &fields() const {
    return this->Fields;
  }

private:
  std::vector<std::pair<std::string, std::string>> Fields;
};

struct HttpRequest {
  std::string Method = "GET";
  /// Path without the query, such as "/v1/jobs".
  std::string Path;
  /// Query without the question mark.
  std::string Query;
  /// Target of the request, "host" or "host:port", as in the Host header. If it
  /// is empty, the client sends the address that it connects to.
  std::string Authority;
  HttpHeaders Headers;
  std::string Body;

  /// Value of a query parameter, or an empty string if it is missing. Does not
  /// decode percent-encoded characters.
  std::string queryValue(std::string_view Name) const;
};

struct HttpResponse {
  int Status = 200;
  HttpHeaders Headers;
  std::string Body;
};

} // namespace vanillayard

#endif
