#include "standin_relay/RelayControl.h"

#include "base/AbslView.h"

#include "absl/strings/numbers.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using nlohmann::json;

static constexpr std::string_view LinksPath = "/v1/links";

absl::StatusOr<const RelayLink *>
RelayControl::addLink(const Endpoint &Target) {
  auto Link = RelayLink::open(this->Loop, Endpoint("127.0.0.1:0"), Target);
  if (!Link.ok())
    return Link.status();
  this->Links.push_back(std::move(*Link));
  return this->Links.back().get();
}

HttpResponse RelayControl::openLink(const HttpRequest &Request) {
  json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object() || !Body["target"].is_string())
    return {400, {}, "expected a JSON object with a string 'target'\n"};
  auto Link = this->addLink(Endpoint(Body["target"].get<std::string>()));
  if (!Link.ok())
    return {400, {}, std::string(Link.status().message())};
  json Answer = {{"link", this->Links.size() - 1},
                 {"listen", (*Link)->address().str()}};
  return {200, {}, Answer.dump()};
}

static bool readFaults(const std::string &Text, LinkFaults &Faults) {
  json Body = json::parse(Text, nullptr, false);
  if (!Body.is_object())
    return false;
  for (const auto &[Name, Value] : Body.items()) {
    if (Name == "cut" && Value.is_boolean())
      Faults.Cut = Value.get<bool>();
    else if (Name == "freeze" && Value.is_boolean())
      Faults.Frozen = Value.get<bool>();
    else if (Name == "delay_ms" && Value.is_number())
      Faults.Delay = absl::Milliseconds(Value.get<double>());
    else
      return false;
  }
  return true;
}

HttpResponse RelayControl::setLinkFaults(std::string_view Name,
                                         const HttpRequest &Request) {
  LinkFaults Faults;
  if (!readFaults(Request.Body, Faults))
    return {400,
            {},
            "expected a JSON object with any of cut, freeze and delay_ms\n"};
  if (Name == "all") {
    for (const std::unique_ptr<RelayLink> &Link : this->Links)
      Link->setFaults(Faults);
    return {200, {}, "{}"};
  }
  size_t Index = 0;
  if (!absl::SimpleAtoi(abslView(Name), &Index) || Index >= this->Links.size())
    return {404, {}, "no such link\n"};
  this->Links[Index]->setFaults(Faults);
  return {200, {}, "{}"};
}

void RelayControl::handle(const HttpRequest &Request,
                          const std::shared_ptr<HttpResponder> &Responder) {
  std::string_view Path = Request.Path;
  if (Request.Method != "POST" || !Path.starts_with(LinksPath))
    return Responder->respond({404, {}, "only POST to /v1/links is served\n"});
  Path.remove_prefix(LinksPath.size());
  if (Path.empty())
    return Responder->respond(this->openLink(Request));
  Responder->respond(this->setLinkFaults(Path.substr(1), Request));
}

} // namespace vanillayard
