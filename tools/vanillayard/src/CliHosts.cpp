#include "Cli.h"

#include "ChromeTrace.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

namespace vanillayard {

using nlohmann::json;

// Formats the member Name of an object for a table: "-" if there is none, and
// the number of elements for an array.
static std::string cellText(const json &Object, const char *Name) {
  if (!Object.is_object() || !Object.contains(Name))
    return "-";
  const json &Value = Object[Name];
  if (Value.is_string())
    return Value.get<std::string>();
  if (Value.is_array())
    return std::to_string(Value.size());
  return Value.dump(-1, ' ', false, json::error_handler_t::replace);
}

ExitCode Cli::status(const Arguments &) {
  json All = json::array();
  ExitCode Result = this->forEachHost(
      "/v1/admin/status", [&](const Endpoint &Host, const json &Answer) {
        All.push_back(Answer);
        All.back()["admin"] = Host.str();
      });
  if (this->Options.Json) {
    this->printJson(All);
    return Result;
  }
  static constexpr char Row[] =
      "{:<20} {:<10} {:<9} {:>10} {:<12} {:>5} {:>7} {:>8}";
  this->printLine(fmt::format(Row, "host", "dc", "state", "generation",
                              "preset", "peers", "workers", "warnings"));
  for (const json &Host : All)
    this->printLine(
        fmt::format(Row, cellText(Host, "host"), cellText(Host, "data_centre"),
                    cellText(Host, "state"), cellText(Host, "generation"),
                    cellText(Host, "preset"), cellText(Host, "peers"),
                    cellText(Host, "workers"), cellText(Host, "warnings")));
  for (const json &Host : All)
    for (const char *Name :
         {"queues", "accelerators", "guarantees", "holdings", "fragmentation"})
      if (Host.contains(Name))
        this->printLine(fmt::format("{}: {} {}", cellText(Host, "host"), Name,
                                    Host[Name].dump()));
  return Result;
}

ExitCode Cli::metrics(const Arguments &) {
  ExitCode Result = ExitCode::Ok;
  for (const Endpoint &Host : this->Options.AdminAddresses) {
    absl::StatusOr<std::string> Text =
        this->HostClient.getText(Host, "/metrics");
    if (!Text.ok()) {
      Result = this->reportError(Text.status());
      continue;
    }
    this->printLine("# host " + Host.str());
    this->Options.Output(*Text);
  }
  return Result;
}

ExitCode Cli::warnings(const Arguments &) {
  json All = json::array();
  ExitCode Result = this->forEachHost(
      "/v1/admin/warnings", [&](const Endpoint &Host, const json &Answer) {
        if (!Answer.is_array())
          return;
        for (json Warning : Answer) {
          Warning["admin"] = Host.str();
          All.push_back(std::move(Warning));
        }
      });
  if (this->Options.Json)
    this->printJson(All);
  else if (All.empty() && Result == ExitCode::Ok)
    this->printLine("no warnings");
  else
    for (const json &Warning : All)
      this->printLine(fmt::format(
          "{}: {} {}: {} ({})", cellText(Warning, "admin"),
          cellText(Warning, "condition"), cellText(Warning, "subject"),
          cellText(Warning, "detail"), cellText(Warning, "action")));
  return Result;
}

ExitCode Cli::timeline(const Arguments &) {
  ChromeTrace Trace;
  ExitCode Result = ExitCode::Ok;
  for (const Endpoint &Host : this->Options.AdminAddresses) {
    absl::StatusOr<std::string> Lines =
        this->HostClient.getText(Host, "/v1/admin/timeline");
    if (Lines.ok())
      Trace.addLines(*Lines);
    else
      Result = this->reportError(Lines.status());
  }
  if (Trace.invalidLineCount() > 0)
    this->Options.ErrorOutput(fmt::format(
        "vanillayard: {} lines are not events\n", Trace.invalidLineCount()));
  this->printLine(
      Trace.document().dump(-1, ' ', false, json::error_handler_t::replace));
  return Result;
}

ExitCode Cli::drainHost(const Arguments &) {
  if (this->Options.AdminAddresses.size() != 1) {
    this->Options.ErrorOutput(
        "vanillayard: drain host takes exactly one --admin\n");
    return ExitCode::Usage;
  }
  const Endpoint &Host = this->Options.AdminAddresses.front();
  absl::StatusOr<json> Answer =
      this->HostClient.postJson(Host, "/v1/admin/drain", {{"host", true}});
  if (!Answer.ok())
    return this->reportError(Answer.status());
  this->printLine(Host.str() + ": draining");
  return ExitCode::Ok;
}

// Each host of the worker's data centre keeps its own draining state, so the
// request goes to every host.
ExitCode Cli::setWorkerDraining(const std::string &Worker, bool Draining) {
  int UpdatedHosts = 0;
  absl::Status Error =
      makeError(ErrorKind::NotFound, "no host knows worker " + Worker);
  for (const Endpoint &Host : this->Options.AdminAddresses) {
    absl::StatusOr<json> Answer = this->HostClient.postJson(
        Host, "/v1/admin/drain", {{"worker", Worker}, {"draining", Draining}});
    if (Answer.ok())
      ++UpdatedHosts;
    else if (errorKindOf(Answer.status()) != ErrorKind::NotFound)
      Error = Answer.status();
  }
  bool HasFailed = errorKindOf(Error) != ErrorKind::NotFound;
  if (UpdatedHosts > 0)
    this->printLine(fmt::format("{}: {} on {} hosts", Worker,
                                Draining ? "draining" : "in use",
                                UpdatedHosts));
  return UpdatedHosts > 0 && !HasFailed ? ExitCode::Ok
                                        : this->reportError(Error);
}

ExitCode Cli::drainWorker(const Arguments &Args) {
  return this->setWorkerDraining(Args[0], true);
}

ExitCode Cli::undrainWorker(const Arguments &Args) {
  return this->setWorkerDraining(Args[0], false);
}

ExitCode Cli::jobList(const Arguments &) {
  absl::StatusOr<json> Answer = this->callAnyHost([&](const Endpoint &Host) {
    return this->HostClient.getJson(Host, "/v1/admin/jobs");
  });
  if (!Answer.ok())
    return this->reportError(Answer.status());
  if (this->Options.Json) {
    this->printJson(*Answer);
    return ExitCode::Ok;
  }
  static constexpr char Row[] = "{:<34} {:<16} {:<12} {:<14} {:>5} {:<8}";
  this->printLine(
      fmt::format(Row, "id", "state", "account", "kind", "gang", "dc"));
  if (Answer->is_object() && Answer->contains("jobs"))
    for (const json &Job : (*Answer)["jobs"])
      this->printLine(fmt::format(
          Row, cellText(Job, "id"), cellText(Job, "state"),
          cellText(Job, "account"), cellText(Job, "kind"),
          cellText(Job, "gang_size"), cellText(Job, "data_centre")));
  return ExitCode::Ok;
}

ExitCode Cli::jobShow(const Arguments &Args) {
  absl::StatusOr<json> Answer = this->callAnyHost([&](const Endpoint &Host) {
    return this->HostClient.getJson(Host, "/v1/admin/jobs/" + Args[0]);
  });
  if (!Answer.ok())
    return this->reportError(Answer.status());
  this->printJson(*Answer);
  return ExitCode::Ok;
}

ExitCode Cli::jobCancel(const Arguments &Args) {
  absl::StatusOr<json> Answer = this->callAnyHost([&](const Endpoint &Host) {
    return this->HostClient.postJson(
        Host, "/v1/admin/jobs/" + Args[0] + "/cancel", json::object());
  });
  if (!Answer.ok())
    return this->reportError(Answer.status());
  this->printJson(*Answer);
  return ExitCode::Ok;
}

} // namespace vanillayard
