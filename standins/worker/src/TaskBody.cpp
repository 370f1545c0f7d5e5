#include "standin_worker/TaskBody.h"

#include "base/Digest.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace vanillayard {

static nlohmann::json parseObject(std::string_view Text) {
  nlohmann::json Parsed = nlohmann::json::parse(Text, nullptr, false);
  return Parsed.is_object() ? Parsed : nlohmann::json::object();
}

TaskBody TaskBody::parse(std::string_view Body, absl::Duration DefaultRunTime) {
  TaskBody Task;
  Task.RunTime = DefaultRunTime;
  nlohmann::json Json = parseObject(Body);
  auto RunMs = Json.find("run_ms");
  if (RunMs != Json.end() && RunMs->is_number())
    Task.RunTime = absl::Milliseconds(std::max(0.0, RunMs->get<double>()));
  auto Bytes = Json.find("result_bytes");
  if (Bytes != Json.end() && Bytes->is_number_unsigned())
    Task.ResultBytes = std::min(Bytes->get<size_t>(), MaxResultBytes);
  auto Fail = Json.find("fail");
  if (Fail != Json.end() && Fail->is_boolean())
    Task.Fail = Fail->get<bool>();
  return Task;
}

std::string TaskBody::make(absl::Duration RunTime, std::string_view Tag,
                           size_t ResultBytes, bool Fail) {
  nlohmann::json Json = {{"run_ms", absl::ToDoubleMilliseconds(RunTime)}};
  if (!Tag.empty())
    Json["tag"] = Tag;
  if (ResultBytes > 0)
    Json["result_bytes"] = ResultBytes;
  if (Fail)
    Json["fail"] = true;
  return Json.dump();
}

std::string TaskBody::result(std::string_view Owner,
                             std::string_view Body) const {
  nlohmann::json Json = {{"owner", Owner}, {"digest", sha256Hex(Body)}};
  std::string Text =
      Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  if (Text.size() >= this->ResultBytes)
    return Text;
  Json["padding"] = std::string(this->ResultBytes - Text.size(), 'x');
  return Json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

bool TaskBody::isResultOf(std::string_view Result, std::string_view Owner,
                          std::string_view Body) {
  nlohmann::json Json = parseObject(Result);
  auto OwnerField = Json.find("owner");
  auto Digest = Json.find("digest");
  if (OwnerField == Json.end() || !OwnerField->is_string() ||
      Digest == Json.end() || !Digest->is_string())
    return false;
  if (!Owner.empty() && OwnerField->get_ref<const std::string &>() != Owner)
    return false;
  return Digest->get_ref<const std::string &>() == sha256Hex(Body);
}

} // namespace vanillayard
