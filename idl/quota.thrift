// What instances tell each other of the quotas of teams. Generate with:
//   thrift --gen py --out DIRECTORY idl/quota.thrift
// and copy the package quota into src/cuminhatch/codecs/gen.

namespace py quota

struct TeamCounts {
  1: string team_id
  2: i64 asked
  3: i64 admitted
  4: i64 in_window
  5: i64 accounted
}

struct TeamSums {
  1: string team_id
  2: i64 asked
  3: i64 admitted
  4: i64 in_window
}

struct TeamFigures {
  1: string team_id
  2: i32 asked_per_10s
  3: i32 balance_tenths
  4: i32 share_thousandths
}

struct QuotaReport {
  1: string instance_id
  2: string failure_domain
  3: i32 incarnation
  4: list<TeamCounts> counts
}

struct QuotaSums {
  1: string aggregator_id
  2: string failure_domain
  3: i32 session
  4: i32 age_ms
  5: i32 heard
  6: i32 known
  7: list<TeamSums> counts
}

struct QuotaFigures {
  1: string aggregator_id
  2: string failure_domain
  3: i32 session
  4: bool is_settled
  5: i32 heard
  6: i32 known
  7: list<TeamFigures> figures
}
