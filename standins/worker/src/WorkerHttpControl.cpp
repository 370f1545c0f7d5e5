#include "endpoint/WorkerCodec.h"
#include "standin_worker/WorkerHttpService.h"

#include <nlohmann/json.hpp>

namespace vanillayard {

using nlohmann::json;

static void readFlag(const json &Object, const char *Name,
                     const std::function<void(bool)> &Set) {
  auto Found = Object.find(Name);
  if (Found != Object.end() && Found->is_boolean())
    Set(Found->get<bool>());
}

static void readCounter(const json &Object, const char *Name, int &Counter) {
  auto Found = Object.find(Name);
  if (Found != Object.end() && Found->is_number_integer())
    Counter = Found->get<int>();
}

void WorkerHttpService::serveFaults(const HttpRequest &Request,
                                    const ResponderRef &Responder) {
  json Body = worker_codec::fromText(Request.Body);
  if (!Body.is_object())
    return Responder->respond({400, {}, "the body must be a JSON object\n"});
  readFlag(Body, "fail_everything",
           [this](bool Value) { this->Model.setFailEverything(Value); });
  readFlag(Body, "draining",
           [this](bool Value) { this->Model.setDraining(Value); });
  readFlag(Body, "freeze", [this](bool Value) { this->setFrozen(Value); });
  readFlag(Body, "restart", [this](bool Value) {
    if (Value)
      this->Model.restart();
  });
  readCounter(Body, "lose_answers", this->Faults.LoseAnswers);
  readCounter(Body, "cross_answers", this->Faults.CrossAnswers);
  readCounter(Body, "truncate_answers", this->Faults.TruncateAnswers);
  int DelayMs =
      static_cast<int>(absl::ToInt64Milliseconds(this->Faults.AnswerDelay));
  readCounter(Body, "delay_ms", DelayMs);
  this->Faults.AnswerDelay = absl::Milliseconds(DelayMs);
  Responder->respond({200, {}, "{}"});
}

static json encodeRun(const ExecutionRecord &Run) {
  json Object = {
      {"owner", Run.Owner},
      {"lease", Run.Lease.str()},
      {"worker", Run.Worker.str()},
      {"incarnation", Run.Incarnation},
      {"account", Run.Account.str()},
      {"kind", Run.Kind.str()},
      {"accelerators", Run.Accelerators},
      {"member", Run.Member},
      {"gang_size", Run.GangSize},
      {"body_digest", Run.BodyDigest},
      {"started_ms", absl::ToUnixMillis(Run.Started)},
      {"state", LeaseStateNames.nameOf(Run.State)},
  };
  if (Run.Ended != absl::InfiniteFuture())
    Object["ended_ms"] = absl::ToUnixMillis(Run.Ended);
  return Object;
}

void WorkerHttpService::serveExecutions(const ResponderRef &Responder) {
  json Runs = json::array();
  for (const ExecutionRecord &Run : this->Model.executions())
    Runs.push_back(encodeRun(Run));
  Responder->respond({200, {}, worker_codec::toText({{"executions", Runs}})});
}

} // namespace vanillayard
