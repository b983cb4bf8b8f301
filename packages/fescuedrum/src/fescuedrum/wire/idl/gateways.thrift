// Datagrams that gateway processes send to each other.

namespace py fescuedrum.wire.gen.gateways

struct EndpointLoad {
  1: optional string endpoint,
  2: optional i32 requests,
  3: optional i32 unread_tokens,
  // Tokens that the sender's requests hold there or may still write.
  4: optional i32 tokens,
}

// The last limit that an endpoint stated for requests from all gateways together.
struct EndpointLimit {
  1: optional string endpoint,
  // Unset once it has answered without a limit.
  2: optional double per_second,
  // Time since the endpoint stated it, in seconds.
  3: optional double age,
}

// New requests of one rank at a service, measured by the sender over the last half second.
struct RankDemand {
  1: optional string service,
  // 0 is the most urgent.
  2: optional i32 rank,
  3: optional double per_second,
}

// Requests that an organisation has running at a service through the sender.
struct OrganisationLoad {
  1: optional string service,
  2: optional string organisation,
  3: optional i32 requests,
}

// Some or all of the endpoints that form a group of ranks.
struct GroupMembers {
  1: optional string service,
  2: optional string group,
  3: optional i64 epoch,
  4: optional list<string> endpoints,
}

// Whether the sender found a group of ranks down or open.
struct GroupState {
  1: optional string service,
  2: optional string group,
  3: optional bool down,
  // Time since the sender observed it, in seconds.
  4: optional double age,
}

// An endpoint that the sender found to have ended.
struct EndpointEnd {
  1: optional string endpoint,
  // Time since then, in seconds.
  2: optional double age,
  // For an end of a request: whether its answer had begun.
  3: optional bool is_begun,
}

// A part of prompts, or a request, at whose answers endpoints have ended.
struct SuspectPart {
  // Id of the part, or fingerprint of the request.
  1: optional string part,
  2: optional list<EndpointEnd> ends,
  // Whether an answer had shown it to be sound before the first of these ends.
  3: optional bool was_answered,
  // Requests with it that were sent although it is quarantined.
  4: optional i32 trials,
  // Time since the last of them, in seconds.
  5: optional double trial_age,
}

// A part or request that was suspect until an answer showed it to be sound.
struct SoundPart {
  // Id of the part, or fingerprint of the request.
  1: optional string part,
  // Time since the answer, in seconds.
  2: optional double age,
}

// Row of the platform's store with a quarantined part or request; without ends it is
// released.
struct QuarantinedPart {
  1: optional SuspectPart suspect,
  // When the row was written, in seconds since the epoch.
  2: optional double written_at,
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
  // Demand at services whose routes differ in priority.
  15: optional list<RankDemand> demand,
  // The organisations with most running requests at such services.
  16: optional list<OrganisationLoad> organisations,
  // Sent only by the gateway that leads the groups; a slice in each beacon.
  17: optional list<GroupMembers> group_members,
  // Groups whose state the sender observed recently.
  18: optional list<GroupState> group_states,
  // Endpoints that have ended in the last seconds.
  19: optional list<EndpointEnd> ended,
  20: optional list<SuspectPart> suspects,
  21: optional list<SoundPart> sound_parts,
}
