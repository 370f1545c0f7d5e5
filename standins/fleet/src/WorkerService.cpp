#include "WorkerService.h"

#include "control/testing/FakeWorkerFarm.h"
#include "fleet/WorkerRegistration.h"

#include <cstdio>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace vanillayard {

using Json = nlohmann::json;
using ResponderRef = std::shared_ptr<HttpResponder>;

/// The farm executes orders immediately, so any longer timeout works.
static constexpr absl::Duration CallTimeout = absl::Seconds(10);
static constexpr size_t JobIdDigits = 16;

static void answer(const ResponderRef &Responder, int Status,
                   const Json &Body = Json::object()) {
  HttpResponse Response;
  Response.Status = Status;
  Response.Headers.add("Content-Type", "application/json");
  Response.Body = Body.dump();
  Responder->respond(std::move(Response));
}

static std::string taskName(const TaskKey &Task) {
  return fmt::format("{}.{}.{}.{}", Task.Job.str(), Task.Occurrence, Task.Step,
                     Task.Index);
}

/// Reads the task name, JOBID.OCCURRENCE.STEP.INDEX, and the run number.
/// Returns false if the name is malformed.
static bool parseTask(const Json &Body, TaskKey &Task, int64_t &Run) {
  std::string Name = Body.value("task", "");
  Run = Body.value("run", int64_t(0));
  if (Name.size() <= JobIdDigits)
    return false;
  Task.Job = JobId(Name.substr(0, JobIdDigits));
  return std::sscanf(Name.c_str() + JobIdDigits, ".%d.%d.%d", &Task.Occurrence,
                     &Task.Step, &Task.Index) == 3;
}

static void answerOrder(const ResponderRef &Responder,
                        const OrderReply &Reply) {
  Json Body = {{"clock-ms", absl::ToInt64Milliseconds(
                                Reply.Clock.value_or(absl::ZeroDuration()))}};
  auto Conflict = [&](const char *Reason) {
    Body["reason"] = Reason;
    answer(Responder, 409, Body);
  };
  switch (Reply.Answer) {
  case OrderAnswer::Accepted:
    return answer(Responder, 200, Body);
  case OrderAnswer::Fenced:
    return Conflict("fence");
  case OrderAnswer::StaleRun:
    return Conflict("old");
  case OrderAnswer::TooLate:
    return Conflict("late");
  case OrderAnswer::NoRoom:
    return Conflict("room");
  default:
    return answer(Responder, 503);
  }
}

static void answerReport(const ResponderRef &Responder,
                         const RenewReply &Reply) {
  if (Reply.Answer != OrderAnswer::Accepted)
    return answerOrder(Responder, {Reply.Answer, std::nullopt});
  Json Running = Json::array();
  for (const RunningTask &Task : Reply.Report.Running)
    Running.push_back({taskName(Task.Task), Task.Run, Task.Checkpoint, 0, 0});
  Json Finished = Json::array();
  for (const RunEnd &End : Reply.Report.Ends)
    Finished.push_back({End.Sequence, taskName(End.Task), End.Run,
                        RunOutcomeNames.nameOf(End.Outcome), End.Checkpoint});
  answer(Responder, 200,
         {{"clock-ms", absl::ToInt64Milliseconds(Reply.Report.Clock)},
          {"born", Reply.Report.Incarnation},
          {"running", Running},
          {"finished", Finished}});
}

static void renewLease(FakeWorkerFarm &Farm, const WorkerTarget &Target,
                       const Json &Body, const ResponderRef &Responder) {
  WorkerGateway::Renewal Request;
  Request.Fence = Body.value("fence", int64_t(0));
  Request.LeaseUntil = absl::Milliseconds(Body.value("until-ms", int64_t(0)));
  Request.AcknowledgedEnd = Body.value("last-seen", int64_t(0));
  Request.Wait = absl::Milliseconds(Body.value("wait-ms", int64_t(0)));
  Farm.renew(Target, Request, CallTimeout,
             [Responder](RenewReply Reply) { answerReport(Responder, Reply); });
}

static void startTask(FakeWorkerFarm &Farm, const WorkerTarget &Target,
                      const Json &Body, const ResponderRef &Responder) {
  StartOrder Order;
  if (!parseTask(Body, Order.Task, Order.Run))
    return answer(Responder, 400);
  Order.Checkpoint = Body.value("checkpoint", "");
  Farm.start(Target, Order, Body.value("fence", int64_t(0)),
             absl::Milliseconds(Body.value("until-ms", int64_t(0))),
             CallTimeout,
             [Responder](OrderReply Reply) { answerOrder(Responder, Reply); });
}

static void stopTask(FakeWorkerFarm &Farm, const WorkerTarget &Target,
                     const Json &Body, const ResponderRef &Responder) {
  StopOrder Order;
  if (!parseTask(Body, Order.Task, Order.Run))
    return answer(Responder, 400);
  Farm.stop(Target, Order, Body.value("fence", int64_t(0)), CallTimeout,
            [Responder](OrderReply Reply) { answerOrder(Responder, Reply); });
}

HttpHandler makeWorkerHandler(FakeWorkerFarm &Farm, WorkerId Id) {
  return [&Farm, Id](HttpRequest Request, ResponderRef Responder) {
    WorkerTarget Target{Id, Endpoint()};
    Json Body = Json::parse(Request.Body, nullptr, false);
    if (!Body.is_object())
      return answer(Responder, 400);
    std::string_view Expected =
        Request.Headers.get("vanillayard-expected-instance");
    if (!Expected.empty() && Expected != Id.str())
      return answer(Responder, 421);
    if (Request.Path == "/vanillayard/hold")
      return renewLease(Farm, Target, Body, Responder);
    if (Request.Path == "/vanillayard/run-start")
      return startTask(Farm, Target, Body, Responder);
    if (Request.Path == "/vanillayard/run-stop")
      return stopTask(Farm, Target, Body, Responder);
    answer(Responder, 404);
  };
}

std::string encodeRegistration(const WorkerRegistration &Registration) {
  Json Out = {{"service", Registration.WorkerPool},
              {"address", Registration.Address.str()},
              {"zone", Registration.DataCentre.str()},
              {"version", "v1"},
              {"slots", 8},
              {"state", Registration.IsDraining ? "draining" : "ready"},
              {"born", Registration.Incarnation},
              {"capacity",
               {{"cpu", Registration.Capacity.MilliCores},
                {"mem-mb", Registration.Capacity.MemoryMib},
                {"gpu", Registration.Capacity.Accelerators}}},
              {"labels", Registration.Labels},
              {"clock-ms", absl::ToInt64Milliseconds(Registration.Clock)}};
  return Out.dump();
}

} // namespace vanillayard
