// What processes tell each other about themselves and the configuration.

namespace py fescuedrum.wire.gen.members

struct LoadReport {
  1: optional i32 running,
  2: optional i32 waiting,
  3: optional i32 limit,
  4: optional bool warm,
  5: optional double step_seconds,
  // Requests of the receiver that this agent had seen on this connection.
  20: optional i64 received,
  // Cost served a second while all places were taken; absent before it is known.
  21: optional double cost_rate,
  // Seconds for each unit of cost, smoothed, and the answers ever behind it.
  22: optional double delay,
  23: optional i64 answers,
  24: optional list<string> loaded,
}

struct Heartbeat {
  1: optional string instance,
  2: optional i64 incarnation,
  3: optional string zone,
  4: optional i64 version,
  5: optional string document_hash,
  6: optional bool leaving,
  7: optional LoadReport load,
  8: optional i64 sequence,
}

// Ask a peer for the configuration document with this hash.
struct Pull {
  1: optional string document_hash,
}

struct DocumentBody {
  1: optional i64 version,
  2: optional string document_hash,
  3: optional binary body,
}
