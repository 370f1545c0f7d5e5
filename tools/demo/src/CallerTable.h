#ifndef VANILLAYARD_DEMO_CALLERTABLE_H
#define VANILLAYARD_DEMO_CALLERTABLE_H

#include <map>
#include <string>
#include <vector>

namespace vanillayard {

/// What one caller of the demo sent and got.
struct CallerRow {
  int Sent = 0;
  /// Whole answers to the caller's own request.
  int OwnAnswers = 0;
  /// Answers to another request, or with a changed body.
  int ForeignAnswers = 0;
  /// Requests that ended without an answer, with their errors.
  int Errors = 0;
  std::map<std::string, int> ErrorCounts;
};

/// The table of all callers that the demo prints at its end.
class CallerTable {
public:
  CallerRow &row(const std::string &Caller, const std::string &Kind);
  std::string format() const;
  /// True if every request got the answer to itself.
  bool isComplete() const;

private:
  std::map<std::pair<std::string, std::string>, CallerRow> Rows;
};

} // namespace vanillayard

#endif
