#ifndef VANILLAYARD_ENDPOINT_WORKERCODEC_H
#define VANILLAYARD_ENDPOINT_WORKERCODEC_H

#include "endpoint/WorkerTypes.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace vanillayard {

/// JSON form of the messages to and from workers. Fields with their default
/// value are left out, so that a status stays small. Decoding gives nothing
/// when a field has the wrong type or a required one is missing.
namespace worker_codec {

/// Headers of the worker protocol.
inline constexpr char LeaseHeader[] = "Vanillayard-Lease";
inline constexpr char DigestHeader[] = "Vanillayard-Digest";
inline constexpr char SlotsFreeHeader[] = "Vanillayard-Slots-Free";
/// State of the lease, with an answer whose body is a task result.
inline constexpr char StateHeader[] = "Vanillayard-State";
/// Epoch of the caller as a JSON array of term and holder.
inline constexpr char EpochHeader[] = "Vanillayard-Epoch";
/// Lease request in JSON, with a run whose body is the task's.
inline constexpr char LeaseRequestHeader[] = "Vanillayard-Lease-Request";
/// Version of a status, for `GET /v1/status?since=`.
inline constexpr char VersionHeader[] = "Vanillayard-Version";

nlohmann::json encode(const Epoch &Value);
nlohmann::json encode(const LeaseRequest &Value);
nlohmann::json encode(const LeaseReport &Value);
nlohmann::json encode(const WorkerStatus &Value);

std::optional<Epoch> decodeEpoch(const nlohmann::json &Json);
std::optional<LeaseRequest> decodeLeaseRequest(const nlohmann::json &Json);
std::optional<LeaseReport> decodeLeaseReport(const nlohmann::json &Json);
std::optional<WorkerStatus> decodeStatus(const nlohmann::json &Json);

/// ASCII text of \p Json on one line, safe in a header.
std::string toText(const nlohmann::json &Json);
/// Parses \p Text; a discarded value on an error.
nlohmann::json fromText(std::string_view Text);

/// Percent-encodes \p Id for a path or a header.
std::string escape(std::string_view Id);
/// Undoes escape(); nothing for a bad escape.
std::optional<std::string> unescape(std::string_view Text);

} // namespace worker_codec

} // namespace vanillayard

#endif
