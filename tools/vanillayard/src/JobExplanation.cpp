#include "JobExplanation.h"

#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <set>

namespace vanillayard {

static bool mentionsJob(const LogLine &Line, const std::string &Job) {
  return Line.field("job") == Job || Line.field("for") == Job;
}

/// Returns whether a line is about the leader's role or the store. Such a line
/// contains no job id but can explain the delay of any job at its time.
static bool isContext(const LogLine &Line) {
  return Line.Component == "role" || Line.Component == "store" ||
         Line.hasMessage("leader", "all runs of earlier leaders are known");
}

JobExplanation::JobExplanation(const std::vector<LogLine> &All,
                               const std::string &Job)
    : Job(Job) {
  absl::Time First = absl::InfiniteFuture();
  absl::Time Last = absl::InfinitePast();
  for (const LogLine &Line : All) {
    if (!mentionsJob(Line, Job))
      continue;
    First = std::min(First, Line.At);
    Last = std::max(Last, Line.At);
  }
  for (const LogLine &Line : All) {
    bool IsBetween = Line.At >= First && Line.At <= Last;
    if (mentionsJob(Line, Job) || (IsBetween && isContext(Line)))
      this->Lines.push_back(Line);
  }
  this->Cause = this->findCause();
}

const LogLine *JobExplanation::findLast(std::string_view Component,
                                        std::string_view Message) const {
  for (auto It = this->Lines.rbegin(); It != this->Lines.rend(); ++It)
    if (It->hasMessage(Component, Message))
      return &*It;
  return nullptr;
}

static absl::Duration durationOf(std::string_view Text) {
  absl::Duration Value;
  return absl::ParseDuration(std::string(Text), &Value) ? Value
                                                        : absl::ZeroDuration();
}

/// Explains the outcome of a job that no leader has seen.
std::string JobExplanation::explainUnscheduled() const {
  const LogLine *Answer = this->findLast("caller", "submit");
  if (!Answer)
    return "callers asked for it, but no log contains its submission";
  std::string Error(Answer->field("error"));
  if (Error == "none")
    return "it was accepted, but no leader has seen it in these logs";
  std::optional<ErrorKind> Kind = parseErrorKind(Error);
  std::string Title = Kind ? std::string(errorKindInfo(*Kind).Title) : Error;
  std::string Explanation =
      fmt::format("{} refused it as {}: {}", Answer->Host, Error, Title);
  if (Kind == ErrorKind::OutcomeUnknown)
    return fmt::format("{} had no answer from the store in time; the caller "
                       "comes again with the same id",
                       Answer->Host);
  if (!Answer->field("detail").empty())
    Explanation += fmt::format(" ({})", Answer->field("detail"));
  return Explanation;
}

std::string JobExplanation::explainFailure(const LogLine &JobEnd) const {
  std::set<std::string> Workers;
  for (const LogLine &Line : this->Lines)
    if (Line.hasMessage("scheduler", "run ended") &&
        Line.field("outcome") == "failed")
      Workers.insert(std::string(Line.field("worker")));
  std::string Explanation(JobEnd.field("reason"));
  if (Workers.size() == 1)
    return fmt::format("{}; all of its failed runs were on worker {}, which "
                       "points to the worker",
                       Explanation, *Workers.begin());
  return fmt::format("{}; its runs failed on {} workers, which points to the "
                     "task",
                     Explanation, Workers.size());
}

/// Explains the longest wait of a task by the events during that wait.
std::string JobExplanation::explainWait() const {
  const LogLine *Longest = nullptr;
  absl::Duration Wait = NotableWait;
  for (const LogLine &Line : this->Lines) {
    if (!Line.hasMessage("scheduler", "tasks are started"))
      continue;
    absl::Duration Waited = durationOf(Line.field("waited"));
    if (Waited < Wait)
      continue;
    Wait = Waited;
    Longest = &Line;
  }
  if (!Longest)
    return "no task waited long for its start";
  std::string Prefix =
      fmt::format("step {} waited {} for its start", Longest->field("step"),
                  absl::FormatDuration(Wait));
  absl::Time Since = Longest->At - Wait;
  std::string Reason = "room: no run was stopped for it";
  for (const LogLine &Line : this->Lines) {
    if (Line.At < Since || Line.At > Longest->At)
      continue;
    bool IsTakeover =
        Line.hasMessage("leader", "all runs of earlier leaders are known");
    if (IsTakeover && durationOf(Line.field("after")) >= NotableWait)
      return fmt::format("{}: {} took the leader's role over and knew all runs "
                         "after {}",
                         Prefix, Line.Host, Line.field("after"));
    if (Line.hasMessage("scheduler", "run ended") ||
        Line.hasMessage("scheduler", "run is not on its "
                                     "worker"))
      Reason = fmt::format(
          "an earlier run on worker {} ended ({})", Line.field("worker"),
          Line.field("outcome").empty() ? "it was not on the worker"
                                        : Line.field("outcome"));
    if (Line.hasMessage("scheduler", "start was not confirmed"))
      Reason = fmt::format("worker {} did not confirm a start ({})",
                           Line.field("worker"), Line.field("answer"));
    if (Line.hasMessage("scheduler", "run is preempted") &&
        Line.field("for") == this->Job)
      Reason = fmt::format("runs that were stopped for it, of job {}",
                           Line.field("job"));
  }
  return fmt::format("{}: {}", Prefix, Reason);
}

std::string JobExplanation::findCause() const {
  if (this->Lines.empty())
    return "no line names this id";
  const LogLine *JobEnd = this->findLast("scheduler", "job is over");
  if (!JobEnd && !this->findLast("scheduler", "job is known"))
    return this->explainUnscheduled();
  if (!JobEnd)
    return "it is not over in these logs; " + this->explainWait();
  if (JobEnd->field("state") == "failed")
    return this->explainFailure(*JobEnd);
  if (JobEnd->field("state") == "cancelled")
    return std::string(JobEnd->field("reason"));
  return "done; " + this->explainWait();
}

} // namespace vanillayard
