// Frames in which processes report their state and exchange the configuration.

namespace py fescuedrum.wire.gen.members

struct LoadReport {
  1: optional i32 running,
  2: optional i32 waiting,
  3: optional i32 limit,
  4: optional bool warm,
  5: optional double step_seconds,
  // Requests of the receiver that this agent had received on this connection.
  20: optional i64 received,
  // Cost served per second while all places were in use; absent until it is known.
  21: optional double cost_rate,
  // Smoothed seconds per unit of cost, and the number of answers it is based on.
  22: optional double delay,
  23: optional i64 answers,
  24: optional list<string> loaded,
}

// The sender is known from the Hello of the connection.
struct Heartbeat {
  1: optional string instance,
  2: optional i64 incarnation,
  3: optional string zone,
  4: optional i64 version,
  5: optional string document_hash,
  6: optional bool leaving,
  7: optional LoadReport load,
  8: optional i64 sequence,
  // Interval at which the sender wants heartbeats; absent leaves it to the receiver.
  10: optional i32 wanted_interval_ms,
}

// Ask a peer for the document with this hash; absent means the one in force there.
struct Pull {
  1: optional string document_hash,
}

struct ServiceSum {
  1: optional string service_name,
  2: optional i32 endpoints,
  3: optional i32 warm,
  4: optional i32 limit,
  5: optional i32 running,
}

// Summary of a zone for the entries of other zones.
struct ZoneDigest {
  1: optional string zone,
  2: optional i64 version,
  3: optional i64 lowest_version,
  4: optional i32 entries,
  5: optional i32 agents,
  6: optional i32 silent,
  7: optional list<ServiceSum> services,
  // Age of the summary, added up over the hops.
  8: optional i32 age_ms,
}

// Ask a peer for the instance list that it last read.
struct ListingPull {
}

struct Listing {
  // Deflated JSON with the lines as the platform returned them.
  1: optional binary body,
}

struct DocumentBody {
  1: optional i64 version,
  2: optional string document_hash,
  3: optional binary body,
  // The body is deflated; its hash is that of the plain bytes.
  4: optional bool compressed,
}
