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

struct CatalogMember {
  1: string instance_id
  2: string host
  3: i32 port
}

struct ServerRegistration {
  1: string server_id
  2: string service_id
  3: string host
  4: i32 port
  5: string failure_domain
  6: i32 slots
  7: i32 connections
  8: bool is_draining
  9: i32 warmup_left_ms
  10: i64 started_ms
  11: i64 row_version
}

struct CatalogNews {
  1: CatalogMember sender
  2: i64 previous_version
  3: i64 version
  4: i64 configuration_version
  5: list<ServerRegistration> changed
  6: list<string> removed_ids
  7: bool is_pull_needed
  8: i32 instances
}

struct Greeting {
  1: CatalogMember sender
  2: list<CatalogMember> members
  3: bool is_reply_wanted
}

struct CatalogState {
  1: i64 version
  2: list<ServerRegistration> registrations
  3: i64 configuration_version
  4: binary configuration
  5: i64 previous_version
  6: list<string> removed_ids
  7: bool is_whole
  8: list<CatalogMember> members
}

struct CatalogReferral {
  1: CatalogMember holder
}
