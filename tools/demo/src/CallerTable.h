#ifndef VANILLAYARD_DEMO_CALLERTABLE_H
#define VANILLAYARD_DEMO_CALLERTABLE_H

#include <map>
#include <string>
#include <vector>

namespace vanillayard {

/// Numbers of requests that one caller of the demo sent and of answers that it
/// received.
struct CallerRow {
  int Sent = 0;
  /// Complete answers to the caller's own requests.
  int OwnAnswers = 0;
  /// Answers to another request, or with a changed body.
  int ForeignAnswers = 0;
  /// Requests that ended with an error.
  int Errors = 0;
  /// Number of errors by kind or description.
  std::map<std::string, int> ErrorCounts;
};

/// The table of all callers that the demo prints at its end.
class CallerTable {
public:
  CallerRow &row(const std::string &Caller, const std::string &Kind);
  std::string format() const;
  /// Returns whether every request received its own answer.
  bool isComplete() const;

private:
  std::map<std::pair<std::string, std::string>, CallerRow> Rows;
};

} // namespace vanillayard

#endif
