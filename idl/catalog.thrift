// What instances tell each other of registered servers, the configuration and
// other instances. Generate with:
//   thrift --gen py --out DIRECTORY idl/catalog.thrift
// and copy the package catalog into src/cuminhatch/codecs/gen.

namespace py catalog

struct CatalogMember {
  1: string instance_id
  2: string host
  3: i32 port
  4: string failure_domain
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
  12: i64 row_era
  13: i64 sequence
  14: bool is_unlisted
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
  9: i64 previous_era
  10: i64 era
  11: i64 configuration_era
  12: i32 latest_read_age_ms
  13: i32 read_span_ms
  14: list<string> evacuated_domains
  15: i64 evacuation_version
  16: i64 evacuation_era
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
  9: i64 previous_era
  10: i64 era
  11: i64 configuration_era
  12: list<string> evacuated_domains
  13: i64 evacuation_version
  14: i64 evacuation_era
}

struct CatalogReferral {
  1: CatalogMember holder
}
