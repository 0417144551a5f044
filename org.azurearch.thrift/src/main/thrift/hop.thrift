/** Frames between the nodes of a mesh whose platform keeps the configuration. */
namespace java org.azurearch.thrift

/** The backend server behind a node. */
struct WireBackend {
  1: required string serviceName
  2: required string instance
  3: required i32 slots
  4: required bool ready
  /** How much longer it is slow after its start, in milliseconds. */
  5: required i32 warmingMillis
}

/** What a node says of itself; the higher incarnation, then the higher sequence, is the newer one. */
struct WireNodeRecord {
  1: required string node
  2: required string dataCentre
  3: required string host
  4: required i32 port
  5: required i64 incarnation
  6: required i64 sequence
  7: required bool leaving
  8: required bool storeReachable
  9: optional WireBackend backend
}

/** How busy the backend server behind a node is. */
struct WireLoad {
  1: required i32 running
  /** By rank, the most urgent first. */
  2: required list<i32> waiting
  3: required i32 workMicros
  4: required i32 failurePercent
}

/** A request on its way to the node in front of the chosen backend server. */
struct WireHopCall {
  1: required i64 id
  2: required string method
  3: required string target
  /** Names and values in turn. */
  4: required list<string> headers
  5: required binary body
  6: required i32 leftMillis
  7: required i32 targetLeftMillis
  8: required i32 rank
  9: required string serviceName
  10: required string route
  11: required bool idempotent
}

/** The backend server's whole answer. */
struct WireHopAnswer {
  1: required i64 id
  2: required i32 status
  3: required list<string> headers
  4: required binary body
  5: required WireLoad load
  /** How long the backend server works on a request of the route. */
  6: required i32 workMicros
}

/** Why there is no answer from the backend server. */
struct WireHopFailure {
  1: required i64 id
  2: required i32 verdict
  3: required string code
  4: required bool reachedBackend
  5: required i32 retryAfterMillis
  6: required string detail
  7: required WireLoad load
}

/** Nobody waits for the call any more. */
struct WireHopCancel {
  1: required i64 id
}

/** Records of nodes, for the receiver and, where relayed is not set, its data centre. */
struct WireNodeRecords {
  1: required list<WireNodeRecord> records
  2: required bool relayed
}

/** The state of the sender in brief; the receiver sends what the sender lacks. */
struct WirePulse {
  1: required i64 configVersion
  2: required i64 memberDigest
  3: required bool reply
  /** How many nodes the sender knows. */
  4: required i32 members
}

/** One configuration: whole, or what differs from an older version. */
struct WireConfigContent {
  1: required i64 version
  /** The older version, or -1 where the content is whole. */
  2: required i64 base
  /** See ContentPatch. */
  3: required binary patch
}

/** Asks for the configuration if the receiver holds a higher version than the sender's. */
struct WireConfigWanted {
  1: required i64 above
}

/** Asks whether the connection still works, or says so. */
struct WireHopPing {
  1: required bool reply
}

/** A frame. */
union HopFrame {
  1: WireNodeRecord hello
  2: WireHopCall call
  3: WireHopAnswer answer
  4: WireHopFailure failure
  5: WireHopCancel cancel
  6: WireNodeRecords records
  7: WirePulse pulse
  8: WireConfigContent config
  9: WireConfigWanted configWanted
  10: WireHopPing ping
}
