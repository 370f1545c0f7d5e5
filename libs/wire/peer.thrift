// Messages between entry hosts. Field numbers are never reused, because hosts
// of two versions exchange messages during a rolling restart.
namespace cpp vanillayard.thrift_wire

struct LoadSummary {
  1: optional i64 queued_urgent
  2: optional i64 queued_normal
  3: optional i64 queued_deferrable
  4: optional i64 free_slots
  5: optional i64 total_slots
  6: optional i64 free_accelerators
  7: optional i64 queue_delay_ms
  8: optional i64 largest_startable_gang
}

struct WorkerView {
  1: string worker
  // A brief view omits endpoint, rack, total_slots and accelerators.
  2: optional string endpoint
  3: optional string rack
  4: i32 free_slots
  5: optional i32 total_slots
  6: optional bool draining
  7: optional bool ejected
  8: optional i32 accelerators
  9: i64 version
  10: optional bool withdrawn
  11: optional bool brief
}

struct HostDigest {
  1: string host
  2: i64 incarnation
  3: string address
  4: optional bool leaving
}

struct DataCentreDigest {
  1: string data_centre
  2: i64 hosts_hash
  3: optional list<HostDigest> hosts
  4: optional i64 age_ms
  5: optional LoadSummary load
}

struct Heartbeat {
  1: i64 generation
  2: optional bool leaving
  3: optional LoadSummary load
  4: optional list<WorkerView> workers
  5: optional string address
  6: optional list<string> known_peers
  7: optional i64 views_seen
  8: optional list<DataCentreDigest> digests
  9: optional list<string> wanted_hosts_of
  10: optional list<string> warnings
  11: optional i64 views_after
  12: optional i64 views_seen_of
  13: optional bool relaying
}

struct ConfigRequest {
  1: i64 have_generation
}

struct ConfigReply {
  1: i64 generation
  2: string document
}

struct ForwardRequest {
  1: string request
  2: string account
  3: string caller
  4: string kind
  5: i64 remaining_ms
  6: bool repeatable
  7: optional string idempotency_key
  8: binary body
}

struct ForwardReply {
  1: optional binary body
  2: optional string error_kind
  3: optional string detail
  4: optional i64 retry_after_ms
}

struct JobNotice {
  1: string job
  2: optional string record
}

struct JobQuery {
  1: string job
}

struct JobReply {
  1: string job
  2: optional string record
}

struct CancelNotice {
  1: string job
}

struct Leaving {
}

struct Envelope {
  1: string sender
  2: i64 incarnation
  3: string data_centre
  4: i64 hlc_physical_us
  5: optional i64 hlc_logical
  6: optional i64 correlation
  // Exactly one of the following is set.
  16: optional Heartbeat heartbeat
  17: optional ConfigRequest config_request
  18: optional ConfigReply config_reply
  19: optional ForwardRequest forward_request
  20: optional ForwardReply forward_reply
  21: optional JobNotice job_notice
  22: optional JobQuery job_query
  23: optional JobReply job_reply
  24: optional CancelNotice cancel_notice
  25: optional Leaving leaving
}
