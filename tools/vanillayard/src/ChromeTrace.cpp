#include "ChromeTrace.h"

#include <algorithm>
#include <map>
#include <string>
#include <tuple>
#include <utility>

namespace vanillayard {

using nlohmann::json;

static bool isEvent(const json &Event) {
  if (!Event.is_object())
    return false;
  for (const char *Name : {"host", "name", "category", "subject", "phase"})
    if (!Event.contains(Name) || !Event[Name].is_string())
      return false;
  for (const char *Name : {"sequence", "hlc_physical_us", "hlc_logical"})
    if (!Event.contains(Name) || !Event[Name].is_number_integer())
      return false;
  return true;
}

void ChromeTrace::addLines(std::string_view Lines) {
  while (!Lines.empty()) {
    size_t End = std::min(Lines.find('\n'), Lines.size());
    std::string_view Line = Lines.substr(0, End);
    Lines.remove_prefix(std::min(End + 1, Lines.size()));
    if (Line.empty())
      continue;
    json Event = json::parse(Line, nullptr, /*allow_exceptions=*/false);
    if (isEvent(Event))
      this->Events.push_back(std::move(Event));
    else
      ++this->InvalidLines;
  }
}

static int64_t integerField(const json &Event, const char *Name) {
  return Event[Name].get<int64_t>();
}

static auto sortKey(const json &Event) {
  return std::make_tuple(integerField(Event, "hlc_physical_us"),
                         integerField(Event, "hlc_logical"),
                         Event["host"].get<std::string>(),
                         integerField(Event, "sequence"));
}

static json metadataEvent(const char *MetadataName, int Process, int Thread,
                          const std::string &Name) {
  return {{"ph", "M"},
          {"name", MetadataName},
          {"pid", Process},
          {"tid", Thread},
          {"args", {{"name", Name}}}};
}

static double timestampUs(const json &Event, int64_t StartUs) {
  // 999 logical ticks of 0.001 us stay below the next microsecond.
  constexpr int64_t MaxLogical = 999;
  constexpr double LogicalTickUs = 0.001;
  return static_cast<double>(integerField(Event, "hlc_physical_us") - StartUs) +
         LogicalTickUs * static_cast<double>(std::min(
                             integerField(Event, "hlc_logical"), MaxLogical));
}

json ChromeTrace::document() const {
  std::vector<json> Sorted = this->Events;
  std::sort(Sorted.begin(), Sorted.end(), [](const json &A, const json &B) {
    return sortKey(A) < sortKey(B);
  });
  int64_t StartUs =
      Sorted.empty() ? 0 : integerField(Sorted.front(), "hlc_physical_us");
  std::map<std::string, int> Processes;
  std::map<std::pair<int, std::string>, int> Threads;
  json Records = json::array();
  for (const json &Event : Sorted) {
    auto Host = Event["host"].get<std::string>();
    auto [Process, IsNewHost] =
        Processes.emplace(Host, static_cast<int>(Processes.size()) + 1);
    if (IsNewHost)
      Records.push_back(
          metadataEvent("process_name", Process->second, 0, Host));
    auto Subject = Event["subject"].get<std::string>();
    auto [Thread, IsNewSubject] =
        Threads.emplace(std::make_pair(Process->second, Subject),
                        static_cast<int>(Threads.size()) + 1);
    if (IsNewSubject)
      Records.push_back(metadataEvent("thread_name", Process->second,
                                      Thread->second, Subject));
    json Record = {{"name", Event["name"]},
                   {"cat", Event["category"]},
                   {"ph", Event["phase"]},
                   {"ts", timestampUs(Event, StartUs)},
                   {"pid", Process->second},
                   {"tid", Thread->second},
                   {"args", Event.value("args", json::object())}};
    if (Event["phase"] == "i")
      Record["s"] = "t";
    Records.push_back(std::move(Record));
  }
  return {{"traceEvents", std::move(Records)},
          {"otherData", {{"start_us", std::to_string(StartUs)}}}};
}

} // namespace vanillayard
