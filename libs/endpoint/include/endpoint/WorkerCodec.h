#ifndef VANILLAYARD_ENDPOINT_WORKERCODEC_H
#define VANILLAYARD_ENDPOINT_WORKERCODEC_H

#include "endpoint/WorkerTypes.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace vanillayard {

/// JSON encoding of the messages to and from workers. The encoder leaves out
/// fields with their default value to keep statuses small. The decoders return
/// std::nullopt if a field has the wrong type or a required one is missing.
namespace worker_codec {

/// Headers of the worker protocol.
inline constexpr char LeaseHeader[] = "Vanillayard-Lease";
inline constexpr char DigestHeader[] = "Vanillayard-Digest";
inline constexpr char SlotsFreeHeader[] = "Vanillayard-Slots-Free";
/// State of the lease, in an answer whose body is a task result.
inline constexpr char StateHeader[] = "Vanillayard-State";
/// Epoch of the caller as a JSON array of term and holder.
inline constexpr char EpochHeader[] = "Vanillayard-Epoch";
/// Lease request as JSON, in a run request whose body is the task's body.
inline constexpr char LeaseRequestHeader[] = "Vanillayard-Lease-Request";
/// Version of the status, which the client sends back in
/// `GET /v1/status?since=`.
inline constexpr char VersionHeader[] = "Vanillayard-Version";

nlohmann::json encode(const Epoch &Value);
nlohmann::json encode(const LeaseRequest &Value);
nlohmann::json encode(const LeaseReport &Value);
nlohmann::json encode(const WorkerStatus &Value);

std::optional<Epoch> decodeEpoch(const nlohmann::json &Json);
std::optional<LeaseRequest> decodeLeaseRequest(const nlohmann::json &Json);
std::optional<LeaseReport> decodeLeaseReport(const nlohmann::json &Json);
std::optional<WorkerStatus> decodeStatus(const nlohmann::json &Json);

/// Returns \p Json as one line of ASCII text, safe in an HTTP header.
std::string toText(const nlohmann::json &Json);
/// Parses \p Text. Returns a value of the type `discarded` on an error.
nlohmann::json fromText(std::string_view Text);

/// Percent-encodes \p Id for a path or a header.
std::string escape(std::string_view Id);
/// Reverses escape(). Returns std::nullopt for a malformed escape sequence.
std::optional<std::string> unescape(std::string_view Text);

} // namespace worker_codec

} // namespace vanillayard

#endif
