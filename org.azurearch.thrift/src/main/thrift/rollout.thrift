/** Messages by which nodes share the state of roll-outs. */
namespace java org.azurearch.thrift

/** An operator's order to roll out a version of a service. */
struct WireRolloutOrder {
  1: required string serviceName
  /** Empty if the order was withdrawn. */
  2: required string targetVersion
  3: required i64 durationMillis
  /** Offset of the record in the operators' stream; the highest is the newest order. */
  4: required i64 id
}

/** The state of a roll-out, as exchanged between nodes and as saved in the store. */
struct WireRolloutState {
  1: required string serviceName
  2: required i64 orderId
  3: required string targetVersion
  4: required string baseVersion
  /** Ordinal of the verdict. */
  5: required i32 verdict
  6: required i32 step
  7: required double share
  8: required i64 durationMillis
  /** Time since the order was first seen, when this state was sent or saved. */
  9: required i64 elapsedMillis
  /** Versions that were rolled back. */
  10: required list<string> rejected
  /** Latency by route above which an answer counts as slow. */
  11: required map<string, i32> slowMillis
  /** Time of day when it was saved, in milliseconds since the epoch; unset between nodes. */
  12: optional i64 savedAtMillis
  /** Share by route where it differs from that of the service. */
  13: optional map<string, double> routeShares
}

/** Cumulative outcomes of requests of one route at servers of one version. */
struct WireRouteOutcomes {
  1: required string route
  2: required bool target
  3: required i64 answered
  4: required i64 failed
  /** Requests that count for latency, and those of them that were slow. */
  5: required i64 timed
  6: required i64 slow
  /** Number of answers by latency bucket. */
  7: required list<i64> latencies
}

/** Cumulative outcomes of requests at one server of the target version. */
struct WireServerOutcomes {
  1: required i64 answered
  2: required i64 bad
}

/** What one node has observed of a roll-out since its start; a later one replaces it. */
struct WireRolloutEvidence {
  1: required string serviceName
  2: required i64 orderId
  3: required string node
  4: required i64 incarnation
  5: required i64 sequence
  6: required i64 requests
  /** Requests sent to the target version. */
  7: required i64 exposed
  /** Requests that are running at servers of other versions. */
  8: required i32 basePending
  9: required list<WireRouteOutcomes> outcomes
  10: required map<string, WireServerOutcomes> servers
}

/** A message about roll-outs between two nodes. */
struct WireRolloutMessage {
  /** When the sender sent it, in milliseconds on its steady clock. */
  1: required i64 sentAtMillis
  2: optional list<WireRolloutOrder> orders
  3: optional list<WireRolloutState> states
  4: optional list<WireRolloutEvidence> evidence
  /** The coordinator that sent the states, if it is alive and leads them. */
  5: optional string coordinator
  /** Set by a coordinator that cannot reach the store. */
  6: optional bool storeDown
  /** Set if the receiver does not forward orders and states. */
  7: optional bool relayed
  /** The node that evidence is for, if it is not the receiver. */
  8: optional string destination
}
