// Messages between the daemons. Generate with:
//   thrift --gen py --out DIRECTORY idl/peers.thrift
// and copy the package peers into src/cuminhatch/codecs/gen.

namespace py peers

struct MemberEntry {
  1: string instance_id
  2: string host
  3: i32 port
  4: i64 incarnation
  5: i64 heartbeat
  6: bool is_leaving
}

struct LoadSample {
  1: string server_id
  2: i32 in_flight
  3: i32 queued
  4: i32 slots
  5: i32 latency_us
  6: bool is_leaving
  7: i32 age_ms
}

struct PermitWish {
  1: string instance_id
  2: string kind
  3: string server_id
}

struct Heartbeat {
  1: MemberEntry sender
  2: i64 head_sequence
  3: i64 stamp_wall_ms
  4: i32 stamp_counter
  5: list<MemberEntry> members
  6: list<LoadSample> samples
  7: list<PermitWish> wishes
}

struct NotesPull {
  1: i64 after
  2: i32 limit
}

struct NotesReply {
  1: list<binary> notes
}
