// Every frame of a connection between two processes of fescuedrum.
// Each encoded Frame is preceded by its length in four bytes.
// Field numbers are never reused. An old process skips fields that it does not know,
// so new fields are optional, and their absence has a safe meaning.

include "members.thrift"

namespace py fescuedrum.wire.gen.frames

struct Header {
  1: optional string name,
  2: optional string value,
}

struct Hello {
  1: optional i32 protocol,
  2: optional string instance,
  3: optional i64 incarnation,
  4: optional string role,
  5: optional string zone,
  6: optional binary nonce,
  7: optional string endpoint,
  8: optional string service_name,
  // Oldest protocol that the sender supports; absent means 1.
  9: optional i32 minimum_protocol,
  // Instance that the sender connects to; the proofs cover it.
  10: optional string addressee,
}

// The agent's answer to a Hello. It names no instance: the peer has proved nothing.
struct Challenge {
  1: optional i32 protocol,
  2: optional i32 minimum_protocol,
  3: optional binary nonce,
}

// Proves that the sender has a peer key without revealing the key.
struct Proof {
  1: optional string key_id,
  2: optional binary mac,
}

// budget_ms is the remaining time, not a time of day, because hosts' clocks differ.
struct Request {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional string request_id,
  4: optional string organisation,
  5: optional string service_name,
  6: optional string method,
  7: optional string path,
  8: optional list<Header> headers,
  9: optional binary body,
  10: optional i32 budget_ms,
  11: optional bool idempotent,
  12: optional string key,
  13: optional string token,
  14: optional i32 priority,
  15: optional double cost,
  16: optional i64 resume_offset,
  17: optional i64 version,
  18: optional i32 window,
  // Answer from the ledger's entry for the key; do not run the request.
  19: optional bool attach_only,
  // Attempt of the key, and the incarnation of the agent that its claim names.
  20: optional i32 key_attempt,
  21: optional i64 incarnation,
}

// Ask for the outcome of a key's attempts up to a number; forbid those not yet seen.
struct Fence {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional string key,
  4: optional i32 key_attempt,
  5: optional i64 incarnation,
  // How long to wait for a request that may still be in transit.
  6: optional i32 patience_ms,
}

struct FenceReply {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional string verdict,
}

// The key's outcome is in its row; with keep_answer only the agent has the bytes.
struct Recorded {
  1: optional string key,
  2: optional bool keep_answer,
}

// The request was not run and will not be run by this agent.
struct Refusal {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional string reason,
  4: optional i32 retry_after_ms,
}

struct ResponseHead {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional i32 status,
  4: optional list<Header> headers,
  // Time spent in the agent's queue.
  30: optional i32 waited_ms,
  // The endpoint was cold when the request started.
  31: optional bool cold,
}

struct Chunk {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional i64 offset,
  4: optional binary data,
}

// An answer is complete only if the End's length equals the number of bytes received.
struct End {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional string outcome,
  4: optional i64 length,
  5: optional string reason,
  // With the outcome not-run: when to retry.
  30: optional i32 retry_after_ms,
  // The endpoint refused or closed the agent's connection.
  31: optional bool unavailable,
}

struct Cancel {
  1: optional i64 number,
  2: optional i32 attempt,
}

struct Credit {
  1: optional i64 number,
  2: optional i32 attempt,
  3: optional i32 window,
}

// Field numbers: 1-19 requests, 20-39 members, 40-59 rank groups.
union Frame {
  1: Hello hello,
  2: Request request,
  3: Refusal refusal,
  4: ResponseHead head,
  5: Chunk chunk,
  6: End end,
  7: Cancel cancel,
  8: Credit credit,
  10: Fence fence,
  11: FenceReply fence_reply,
  12: Recorded recorded,
  15: Challenge challenge,
  16: Proof proof,
  20: members.Heartbeat heartbeat,
  21: members.Pull pull,
  22: members.DocumentBody document,
  23: members.ZoneDigest digest,
  24: members.ListingPull listing_pull,
  25: members.Listing listing,
}
