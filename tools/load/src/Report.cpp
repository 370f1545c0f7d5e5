#include "load/Report.h"

#include "load/Recorder.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <iterator>

namespace vanillayard {

static constexpr double MsPerSecond = 1000;
static constexpr double Median = 0.5;
static constexpr double P99 = 0.99;

static double quantileMs(const GroupRecord &Group, double Q) {
  return Group.Latency.quantile(Q) * MsPerSecond;
}

static std::string outcomeName(const std::pair<std::string, std::string> &Key) {
  return Key.second.empty() ? Key.first
                            : fmt::format("{}/{}", Key.first, Key.second);
}

static void appendRows(std::string &Out, const char *Level,
                       const Recorder::Groups &Groups) {
  for (const auto &[Name, Group] : Groups) {
    fmt::format_to(std::back_inserter(Out),
                   "{:<8} {:<18} {:>7} {:>7} {:>9.1f} {:>9.1f} {:>9.1f} ",
                   Level, Name, Group.Sent, Group.succeeded(),
                   quantileMs(Group, Median), quantileMs(Group, P99),
                   quantileMs(Group, 1));
    for (const auto &[Key, Number] : Group.Outcomes)
      if (Key.first != Outcome::Ok)
        fmt::format_to(std::back_inserter(Out), " {}={}", outcomeName(Key),
                       Number);
    Out += '\n';
  }
}

std::string Report::table(const Recorder &Records) {
  std::string Out =
      fmt::format("{:<8} {:<18} {:>7} {:>7} {:>9} {:>9} {:>9}  {}\n", "level",
                  "name", "sent", "ok", "p50 ms", "p99 ms", "max ms", "errors");
  appendRows(Out, "kind", Records.byKind());
  appendRows(Out, "account", Records.byAccount());
  appendRows(Out, "class", Records.byClass());
  return Out;
}

static nlohmann::json groupJson(const GroupRecord &Group) {
  nlohmann::json Outcomes = nlohmann::json::object();
  for (const auto &[Key, Number] : Group.Outcomes)
    Outcomes[outcomeName(Key)] = Number;
  return {{"sent", Group.Sent},
          {"ok", Group.succeeded()},
          {"p50_ms", quantileMs(Group, Median)},
          {"p99_ms", quantileMs(Group, P99)},
          {"max_ms", quantileMs(Group, 1)},
          {"outcomes", std::move(Outcomes)}};
}

static nlohmann::json groupsJson(const Recorder::Groups &Groups) {
  nlohmann::json Json = nlohmann::json::object();
  for (const auto &[Name, Group] : Groups)
    Json[Name] = groupJson(Group);
  return Json;
}

nlohmann::json Report::json(const Recorder &Records) {
  nlohmann::json Json = {{"kinds", groupsJson(Records.byKind())},
                         {"accounts", groupsJson(Records.byAccount())},
                         {"classes", groupsJson(Records.byClass())},
                         {"wrong_answers", Records.wrongAnswers()}};
  for (const auto &Entry : Records.byClass())
    Json["classes"][Entry.first]["jain"] =
        Records.jainIndexOfClass(Entry.first);
  return Json;
}

} // namespace vanillayard
