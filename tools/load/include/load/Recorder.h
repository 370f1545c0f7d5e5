#ifndef VANILLAYARD_LOAD_RECORDER_H
#define VANILLAYARD_LOAD_RECORDER_H

#include "base/Ids.h"
#include "load/Outcome.h"
#include "load/SampleSet.h"

#include <cstddef>
#include <map>
#include <string>
#include <utility>

namespace vanillayard {

struct LoadStream;
struct PlannedRequest;

/// Counts, latencies and outcomes of a group of requests.
struct GroupRecord {
  size_t Sent = 0;
  /// Seconds from the scheduled time to the whole answer, of requests with
  /// outcome "ok" only.
  SampleSet Latency;
  /// Seconds like Latency, of all requests: one without outcome "ok" counts
  /// with at least its deadline, so that refusing requests cannot improve a
  /// quantile.
  SampleSet Completion;
  /// Counted by outcome and execution.
  std::map<std::pair<std::string, std::string>, size_t> Outcomes;

  /// Number of requests with the outcome \p Name.
  size_t countOf(const std::string &Name) const;
  size_t succeeded() const { return this->Latency.count(); }
};

/// Collects outcomes by kind, client account, class of callers and caller.
class Recorder {
public:
  using Groups = std::map<std::string, GroupRecord>;

  void record(const LoadStream &Stream, const PlannedRequest &Request,
              const Outcome &Result);

  const Groups &byKind() const { return this->Kinds; }
  const Groups &byAccount() const { return this->Accounts; }
  const Groups &byClass() const { return this->Classes; }
  const GroupRecord &total() const { return this->Total; }

  /// The group of a class of callers; empty if it sent nothing.
  const GroupRecord &ofClass(const std::string &Name) const;
  const GroupRecord &ofKind(const std::string &Name) const;

  /// Jain's fairness index among the callers of a class, over each caller's
  /// share of its own requests that succeeded. 1 if the class sent nothing.
  double jainIndexOfClass(const std::string &Name) const;

  /// Number of requests that got the result of another request.
  size_t wrongAnswers() const;

private:
  Groups Kinds;
  Groups Accounts;
  Groups Classes;
  std::map<std::string, Groups> Callers;
  GroupRecord Total;
};

} // namespace vanillayard

#endif
