// Calls to the platform's store that one entry host makes on behalf of another.
// Field numbers are never reused, because hosts of two versions exchange these
// messages during a rolling restart.
namespace cpp vanillayard.thrift_relay

struct Condition {
  1: string key
  2: i64 revision
}

struct Put {
  1: string key
  2: binary value
  3: optional i64 lease
}

struct Item {
  1: string key
  2: binary value
  3: i64 revision
  4: optional i64 store_revision
  5: optional bool deleted
}

struct Call {
  1: i64 id
  2: string operation
  3: optional string key
  4: optional i64 revision
  5: optional i64 duration_ms
  6: optional i64 lease
  7: optional list<Condition> expected
  8: optional list<Put> puts
  9: optional list<string> removes
}

struct Reply {
  1: i64 id
  // Name of the error kind; absent if the call succeeded.
  2: optional string error
  3: optional string detail
  4: optional bool is_applied
  5: optional bool is_history_lost
  6: optional i64 revision
  7: optional i64 lease
  8: optional list<Item> items
}
