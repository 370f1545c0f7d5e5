#include "Cli.h"

#include "ChromeTrace.h"
#include "base/ErrorKind.h"

#include <fmt/format.h>

namespace vanillayard {

using nlohmann::json;

// Text of a value of any type, for tables.
static std::string show(const json &Object, const char *Name) {
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
  this->line(fmt::format(Row, "host", "dc", "state", "generation", "preset",
                         "peers", "workers", "warnings"));
  for (const json &Host : All)
    this->line(fmt::format(Row, show(Host, "host"), show(Host, "data_centre"),
                           show(Host, "state"), show(Host, "generation"),
                           show(Host, "preset"), show(Host, "peers"),
                           show(Host, "workers"), show(Host, "warnings")));
  for (const json &Host : All)
    for (const char *Name :
         {"queues", "accelerators", "guarantees", "holdings", "fragmentation"})
      if (Host.contains(Name))
        this->line(fmt::format("{}: {} {}", show(Host, "host"), Name,
                               Host[Name].dump()));
  return Result;
}

ExitCode Cli::metrics(const Arguments &) {
  ExitCode Result = ExitCode::Ok;
  for (const Endpoint &Host : this->Options.Admins) {
    absl::StatusOr<std::string> Text = this->Hosts.getText(Host, "/metrics");
    if (!Text.ok()) {
      Result = this->fail(Text.status());
      continue;
    }
    this->line("# host " + Host.str());
    this->Options.Out(*Text);
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
    this->line("no warnings");
  else
    for (const json &Warning : All)
      this->line(fmt::format("{}: {} {}: {} ({})", show(Warning, "admin"),
                             show(Warning, "condition"),
                             show(Warning, "subject"), show(Warning, "detail"),
                             show(Warning, "action")));
  return Result;
}

ExitCode Cli::timeline(const Arguments &) {
  ChromeTrace Trace;
  ExitCode Result = ExitCode::Ok;
  for (const Endpoint &Host : this->Options.Admins) {
    absl::StatusOr<std::string> Lines =
        this->Hosts.getText(Host, "/v1/admin/timeline");
    if (Lines.ok())
      Trace.addLines(*Lines);
    else
      Result = this->fail(Lines.status());
  }
  if (Trace.refusedLines() > 0)
    this->Options.Err(fmt::format("vanillayard: {} lines are no events\n",
                                  Trace.refusedLines()));
  this->line(
      Trace.document().dump(-1, ' ', false, json::error_handler_t::replace));
  return Result;
}

ExitCode Cli::drainHost(const Arguments &) {
  if (this->Options.Admins.size() != 1) {
    this->Options.Err("vanillayard: drain host takes exactly one --admin\n");
    return ExitCode::Usage;
  }
  const Endpoint &Host = this->Options.Admins.front();
  absl::StatusOr<json> Answer =
      this->Hosts.post(Host, "/v1/admin/drain", {{"host", true}});
  if (!Answer.ok())
    return this->fail(Answer.status());
  this->line(Host.str() + ": draining");
  return ExitCode::Ok;
}

// Every host of the worker's data centre keeps its own mark, so all are told.
ExitCode Cli::setWorkerDraining(const std::string &Worker, bool Draining) {
  int Told = 0;
  absl::Status Problem =
      makeError(ErrorKind::NotFound, "no host knows worker " + Worker);
  for (const Endpoint &Host : this->Options.Admins) {
    absl::StatusOr<json> Answer = this->Hosts.post(
        Host, "/v1/admin/drain", {{"worker", Worker}, {"draining", Draining}});
    if (Answer.ok())
      ++Told;
    else if (errorKindOf(Answer.status()) != ErrorKind::NotFound)
      Problem = Answer.status();
  }
  bool HasFailed = errorKindOf(Problem) != ErrorKind::NotFound;
  if (Told > 0)
    this->line(fmt::format("{}: {} on {} hosts", Worker,
                           Draining ? "draining" : "in use", Told));
  return Told > 0 && !HasFailed ? ExitCode::Ok : this->fail(Problem);
}

ExitCode Cli::drainWorker(const Arguments &Args) {
  return this->setWorkerDraining(Args[0], true);
}

ExitCode Cli::undrainWorker(const Arguments &Args) {
  return this->setWorkerDraining(Args[0], false);
}

ExitCode Cli::jobList(const Arguments &) {
  absl::StatusOr<json> Answer = this->askAnyHost([&](const Endpoint &Host) {
    return this->Hosts.get(Host, "/v1/admin/jobs");
  });
  if (!Answer.ok())
    return this->fail(Answer.status());
  if (this->Options.Json) {
    this->printJson(*Answer);
    return ExitCode::Ok;
  }
  static constexpr char Row[] = "{:<34} {:<16} {:<12} {:<14} {:>5} {:<8}";
  this->line(fmt::format(Row, "id", "state", "account", "kind", "gang", "dc"));
  if (Answer->is_object() && Answer->contains("jobs"))
    for (const json &Job : (*Answer)["jobs"])
      this->line(fmt::format(Row, show(Job, "id"), show(Job, "state"),
                             show(Job, "account"), show(Job, "kind"),
                             show(Job, "gang_size"), show(Job, "data_centre")));
  return ExitCode::Ok;
}

ExitCode Cli::jobShow(const Arguments &Args) {
  absl::StatusOr<json> Answer = this->askAnyHost([&](const Endpoint &Host) {
    return this->Hosts.get(Host, "/v1/admin/jobs/" + Args[0]);
  });
  if (!Answer.ok())
    return this->fail(Answer.status());
  this->printJson(*Answer);
  return ExitCode::Ok;
}

ExitCode Cli::jobCancel(const Arguments &Args) {
  absl::StatusOr<json> Answer = this->askAnyHost([&](const Endpoint &Host) {
    return this->Hosts.post(Host, "/v1/admin/jobs/" + Args[0] + "/cancel",
                            json::object());
  });
  if (!Answer.ok())
    return this->fail(Answer.status());
  this->printJson(*Answer);
  return ExitCode::Ok;
}

} // namespace vanillayard
