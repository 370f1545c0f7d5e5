#include "testing/Cluster.h"

#include "absl/strings/escaping.h"

#include <algorithm>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace vanillayard {

using nlohmann::json;

static constexpr char ConfigurationKey[] = "/vanillayard/config";

static std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

static absl::Status checkOk(const absl::StatusOr<HttpResponse> &Response,
                            std::string_view What) {
  if (!Response.ok())
    return Response.status();
  if (Response->Status == 200)
    return absl::OkStatus();
  return absl::UnknownError(fmt::format("{}: expected status 200, found {} {}",
                                        What, Response->Status,
                                        Response->Body));
}

absl::StatusOr<std::string> Cluster::writeSettings(const EntryHostNode &Host) {
  Settings::Builder Text(Host.Name, Host.DataCentre);
  std::vector<Endpoint> Seeds;
  for (const EntryHostNode &Other : this->Hosts)
    if (Other.Name != Host.Name && Other.isRunning())
      Seeds.push_back(Other.PeerAddress);
  Text.region("north")
      .listen(Endpoint("127.0.0.1:0"))
      .platform(this->Platform)
      .hostListInterval(absl::Milliseconds(500))
      .seedPeers(Seeds);
  if (this->Options.ChangeSettings)
    this->Options.ChangeSettings(Text);
  absl::StatusOr<Settings> Built = Text.build();
  if (!Built.ok())
    return Built.status();
  return this->Folder.write(fmt::format("{}.json", Host.Name.str()),
                            Built->format());
}

absl::Status Cluster::putConfiguration() {
  std::string Text = this->Options.Configuration;
  if (Text.empty())
    Text = readFile(VANILLAYARD_SAMPLES "/configuration.json");
  json Put = {{"key", absl::Base64Escape(ConfigurationKey)},
              {"value", absl::Base64Escape(Text)}};
  json Transaction = {
      {"success", json::array({{{"request_put", std::move(Put)}}})}};
  return checkOk(
      this->Http.post(this->Platform, "/v3/kv/txn", Transaction.dump()),
      "writing the configuration");
}

absl::Status Cluster::publishHosts(const std::vector<WorkerId> &Leaving) {
  json Hosts = json::array();
  for (const EntryHostNode &Host : this->Hosts)
    if (Host.isRunning())
      Hosts.push_back({{"name", Host.Name.str()},
                       {"role", "entry"},
                       {"data_centre", Host.DataCentre.str()},
                       {"rack", ""},
                       {"address", Host.PeerAddress.str()},
                       {"state", "live"}});
  for (const WorkerNode &Worker : this->Workers) {
    bool IsLeaving =
        std::find(Leaving.begin(), Leaving.end(), Worker.Name) != Leaving.end();
    Hosts.push_back({{"name", Worker.Name.str()},
                     {"role", "worker"},
                     {"data_centre", Worker.DataCentre.str()},
                     {"rack", Worker.Rack.str()},
                     {"address", Worker.Address.str()},
                     {"state", IsLeaving ? "leaving" : "live"}});
  }
  json Body = {{"hosts", std::move(Hosts)}};
  HttpRequest Request;
  Request.Method = "PUT";
  Request.Path = "/v1/hosts";
  Request.Body = Body.dump();
  return checkOk(this->Http.call(this->Platform, std::move(Request)),
                 "writing the host list");
}

absl::Status Cluster::setFaults(const WorkerNode &Worker,
                                const std::string &Faults) {
  return checkOk(this->Http.post(Worker.Address, "/v1/faults", Faults),
                 "setting faults of a worker");
}

absl::StatusOr<std::vector<json>> Cluster::readExecutions() {
  std::vector<json> All;
  for (const WorkerNode &Worker : this->Workers) {
    auto Response = this->Http.get(Worker.Address, "/v1/executions");
    if (absl::Status Read = checkOk(Response, "reading the execution log");
        !Read.ok())
      return Read;
    json Log = json::parse(Response->Body, nullptr, false);
    if (!Log.is_object() || !Log["executions"].is_array())
      return absl::DataLossError("expected a JSON object with an array "
                                 "'executions' as execution log of worker " +
                                 Worker.Name.str());
    for (json &Run : Log["executions"])
      All.push_back(std::move(Run));
  }
  return All;
}

} // namespace vanillayard
