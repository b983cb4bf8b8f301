// Datagrams that gateway processes send to each other.

namespace py fescuedrum.wire.gen.gateways

struct EndpointLoad {
  1: optional string endpoint,
  2: optional i32 requests,
  3: optional i32 unread_tokens,
}

// The last limit that an endpoint stated for requests from all gateways together.
struct EndpointLimit {
  1: optional string endpoint,
  // Unset once it has answered without a limit.
  2: optional double per_second,
  // Time since the endpoint stated it, in seconds.
  3: optional double age,
}

struct Beacon {
  1: optional string instance,
  2: optional i64 incarnation,
  3: optional string host,
  4: optional i64 sequence,
  5: optional bool leaving,
  // Whether the sender's last call to the platform's store was answered.
  6: optional bool store_answers,
  // Versions up to which the sender has the operators' table and the endpoints'.
  7: optional i64 operators_version,
  8: optional i64 endpoints_version,
  // Endpoints at which the sender has requests; absent ones have none.
  9: optional list<EndpointLoad> loads,
  // Addresses of other gateways whose beacons the sender receives.
  10: optional list<string> known_hosts,
  // Unset in an answer, so that two processes don't answer each other endlessly.
  11: optional bool wants_answer,
  // Width of the sender's link: the widest leads the groups.
  12: optional double link_megabits,
  // Availability zone of the sender.
  13: optional string zone,
  // Limits that endpoints stated to the sender itself recently.
  14: optional list<EndpointLimit> limits,
}
