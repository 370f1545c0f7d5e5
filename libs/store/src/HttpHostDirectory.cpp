#include "store/HttpHostDirectory.h"

#include "EtcdJson.h"
#include "base/EnumNames.h"
#include "base/JsonText.h"

#include <fmt/format.h>

#include <memory>
#include <optional>
#include <utility>

namespace vanillayard {

using nlohmann::json;

static constexpr EnumNames<HostRole, 2>
    RoleNames({{{HostRole::Entry, "entry"}, {HostRole::Worker, "worker"}}});
static constexpr EnumNames<HostState, 2>
    StateNames({{{HostState::Live, "live"}, {HostState::Leaving, "leaving"}}});

HttpHostDirectory::HttpHostDirectory(HttpClient &Http, Endpoint Address,
                                     absl::Duration Timeout)
    : Http(Http), Address(std::move(Address)), Timeout(Timeout) {}

HttpHostDirectory::~HttpHostDirectory() {
  for (HttpClient::CallId Id : this->OpenCalls)
    this->Http.cancel(Id);
}

static std::string textOf(const json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name) ||
      !Object[Name].is_string())
    return {};
  return Object[Name].get<std::string>();
}

static std::optional<ListedHost> parseHost(const json &Entry) {
  auto Role = RoleNames.parse(textOf(Entry, "role"));
  auto State = StateNames.parse(textOf(Entry, "state"));
  ListedHost Host;
  Host.Name = textOf(Entry, "name");
  Host.DataCentre = DataCentreId(textOf(Entry, "data_centre"));
  Host.Rack = RackId(textOf(Entry, "rack"));
  Host.Address = Endpoint(textOf(Entry, "address"));
  if (!Role || !State || Host.Name.empty() || Host.DataCentre.empty() ||
      Host.Address.empty())
    return std::nullopt;
  Host.Role = *Role;
  Host.State = *State;
  return Host;
}

absl::StatusOr<HostList> HttpHostDirectory::parse(std::string_view Text) {
  json Document = parseUntrustedJson(Text);
  if (!Document.is_object() || !Document.contains("generated_ms") ||
      !Document["generated_ms"].is_number_integer() ||
      !Document.contains("hosts") || !Document["hosts"].is_array())
    return platformError("the host list has no integer generated_ms or no "
                         "array of hosts");
  HostList List;
  List.Generated =
      absl::FromUnixMillis(Document["generated_ms"].get<int64_t>());
  for (const json &Entry : Document["hosts"]) {
    std::optional<ListedHost> Host = parseHost(Entry);
    if (!Host)
      return platformError("an entry of the host list has a missing or invalid "
                           "field");
    List.Hosts.push_back(std::move(*Host));
  }
  return List;
}

void HttpHostDirectory::fetch(Callback Done) {
  HttpRequest Request;
  Request.Path = "/v1/hosts";
  auto Id = std::make_shared<HttpClient::CallId>(0);
  *Id = this->Http.send(
      this->Address, std::move(Request), this->Timeout,
      [this, Id,
       Done = std::move(Done)](const absl::StatusOr<HttpResponse> &Response) {
        this->OpenCalls.erase(*Id);
        if (!Response.ok())
          Done(platformError(std::string(Response.status().message())));
        else if (Response->Status != 200)
          Done(platformError(fmt::format(
              "the host list answered with HTTP status {}, expected 200",
              Response->Status)));
        else
          Done(parse(Response->Body));
      });
  this->OpenCalls.insert(*Id);
}

} // namespace vanillayard
