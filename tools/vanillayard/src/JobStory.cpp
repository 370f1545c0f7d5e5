#include "JobStory.h"

#include "base/ErrorKind.h"

#include <fmt/format.h>

#include <set>

namespace vanillayard {

static bool names(const LogLine &Line, const std::string &Job) {
  return Line.field("job") == Job || Line.field("for") == Job;
}

/// Lines that explain the jobs of their time without naming them.
static bool isContext(const LogLine &Line) {
  return Line.Component == "role" || Line.Component == "store" ||
         Line.is("leader", "all runs of earlier leaders are known");
}

JobStory::JobStory(const std::vector<LogLine> &All, const std::string &Job)
    : Job(Job) {
  absl::Time First = absl::InfiniteFuture();
  absl::Time Last = absl::InfinitePast();
  for (const LogLine &Line : All) {
    if (!names(Line, Job))
      continue;
    First = std::min(First, Line.At);
    Last = std::max(Last, Line.At);
  }
  for (const LogLine &Line : All) {
    bool IsBetween = Line.At >= First && Line.At <= Last;
    if (names(Line, Job) || (IsBetween && isContext(Line)))
      this->Story.push_back(Line);
  }
  this->Cause = this->explain();
}

const LogLine *JobStory::last(std::string_view Component,
                              std::string_view Message) const {
  for (auto It = this->Story.rbegin(); It != this->Story.rend(); ++It)
    if (It->is(Component, Message))
      return &*It;
  return nullptr;
}

static absl::Duration durationOf(std::string_view Text) {
  absl::Duration Value;
  return absl::ParseDuration(std::string(Text), &Value) ? Value
                                                        : absl::ZeroDuration();
}

/// For a job that no leader has seen.
std::string JobStory::explainRefusal() const {
  const LogLine *Answer = this->last("caller", "submit");
  if (!Answer)
    return "it was asked for, and no log has its submission";
  std::string Error(Answer->field("error"));
  if (Error == "none")
    return "it was accepted, and no leader has seen it in these logs";
  std::optional<ErrorKind> Kind = parseErrorKind(Error);
  std::string Title = Kind ? std::string(errorKindInfo(*Kind).Title) : Error;
  std::string Why =
      fmt::format("{} refused it as {}: {}", Answer->Host, Error, Title);
  if (Kind == ErrorKind::OutcomeUnknown)
    return fmt::format("{} had no answer from the store in time; the caller "
                       "comes again with the same id",
                       Answer->Host);
  if (!Answer->field("detail").empty())
    Why += fmt::format(" ({})", Answer->field("detail"));
  return Why;
}

std::string JobStory::explainFailure(const LogLine &Over) const {
  std::set<std::string> Workers;
  for (const LogLine &Line : this->Story)
    if (Line.is("scheduler", "run ended") && Line.field("outcome") == "failed")
      Workers.insert(std::string(Line.field("worker")));
  std::string Why(Over.field("reason"));
  if (Workers.size() == 1)
    return fmt::format("{}; all of its failed runs were on worker {}, which "
                       "points to the worker",
                       Why, *Workers.begin());
  return fmt::format("{}; its runs failed on {} workers, which points to the "
                     "task",
                     Why, Workers.size());
}

/// The longest wait of a task, by what happened during it.
std::string JobStory::explainWait() const {
  const LogLine *Longest = nullptr;
  absl::Duration Wait = NotableWait;
  for (const LogLine &Line : this->Story) {
    if (!Line.is("scheduler", "tasks are started"))
      continue;
    absl::Duration Waited = durationOf(Line.field("waited"));
    if (Waited < Wait)
      continue;
    Wait = Waited;
    Longest = &Line;
  }
  if (!Longest)
    return "no task waited long for its start";
  std::string Head =
      fmt::format("step {} waited {} for its start", Longest->field("step"),
                  absl::FormatDuration(Wait));
  absl::Time Since = Longest->At - Wait;
  std::string Reason = "room: no run was stopped for it";
  for (const LogLine &Line : this->Story) {
    if (Line.At < Since || Line.At > Longest->At)
      continue;
    bool IsTakeover =
        Line.is("leader", "all runs of earlier leaders are known");
    if (IsTakeover && durationOf(Line.field("after")) >= NotableWait)
      return fmt::format("{}: {} took the leader's role over and knew all runs "
                         "after {}",
                         Head, Line.Host, Line.field("after"));
    if (Line.is("scheduler", "run ended") ||
        Line.is("scheduler", "run is not on its "
                             "worker"))
      Reason = fmt::format(
          "an earlier run on worker {} ended {}", Line.field("worker"),
          Line.field("outcome").empty() ? "with it" : Line.field("outcome"));
    if (Line.is("scheduler", "start was not confirmed"))
      Reason = fmt::format("worker {} did not confirm a start ({})",
                           Line.field("worker"), Line.field("answer"));
    if (Line.is("scheduler", "run is preempted") &&
        Line.field("for") == this->Job)
      Reason = fmt::format("runs that were stopped for it, of job {}",
                           Line.field("job"));
  }
  return fmt::format("{}: {}", Head, Reason);
}

std::string JobStory::explain() const {
  if (this->Story.empty())
    return "no line names this id";
  const LogLine *Over = this->last("scheduler", "job is over");
  if (!Over && !this->last("scheduler", "job is known"))
    return this->explainRefusal();
  if (!Over)
    return "it is not over in these logs; " + this->explainWait();
  if (Over->field("state") == "failed")
    return this->explainFailure(*Over);
  if (Over->field("state") == "cancelled")
    return std::string(Over->field("reason"));
  return "done; " + this->explainWait();
}

} // namespace vanillayard
