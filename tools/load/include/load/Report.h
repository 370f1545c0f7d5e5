#ifndef VANILLAYARD_LOAD_REPORT_H
#define VANILLAYARD_LOAD_REPORT_H

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace vanillayard {

class Recorder;

/// Formats the records of a Recorder as text and as JSON.
class Report {
public:
  /// A table with one line for each kind, account and class: number sent and
  /// answered, p50, p99 and largest latency in ms, and errors by kind and
  /// execution.
  static std::string table(const Recorder &Records);

  /// The same as JSON: {"kinds": {NAME: {sent, ok, p50_ms, p99_ms, max_ms,
  /// outcomes}}, "accounts", "classes", "wrong_answers"}. Classes also have
  /// jain, the fairness among their callers.
  static nlohmann::json json(const Recorder &Records);
};

} // namespace vanillayard

#endif
