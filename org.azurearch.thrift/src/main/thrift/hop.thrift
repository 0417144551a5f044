/** Frames exchanged between nodes where the platform's store holds the configuration. */
namespace java org.azurearch.thrift

include "quota.thrift"
include "rollout.thrift"

/** The backend server behind a node. */
struct WireBackend {
  1: required string serviceName
  2: required string instance
  3: required i32 slots
  4: required bool ready
  /** Remaining warm-up time after its start, in milliseconds. */
  5: required i32 warmingMillis
  /** How many requests a second it takes from all nodes together, if it names a limit. */
  6: optional double limitPerSecond
  /** When this run of it started, in milliseconds since the epoch; 0 if unknown. */
  7: optional i64 startedMillis
  /** Whether it is about to stop. */
  8: optional bool leaving
  /** The version of its software, if it names one. */
  9: optional string softwareVersion
}

/** A node's record of itself, ordered by incarnation, then by sequence; the higher is newer. */
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
  /** The bandwidth of the VM's own link in Mbit/s; absent if it is not limited. */
  10: optional double linkMbps
}

/** The load of the backend server behind a node. */
struct WireLoad {
  1: required i32 running
  /** Number of waiting calls by rank, the most urgent first. */
  2: required list<i32> waiting
  3: required i32 workMicros
  4: required i32 failurePercent
  /** Time until one more call may start within the limit of the backend server; unset if none. */
  5: optional i32 startWaitMillis
  /** Time until the answers that wait on the link of the VM have left; unset if negligible. */
  6: optional i32 linkWaitMillis
  /** Bandwidth of that link in megabits a second; unset if it is not limited. */
  7: optional double linkMbps
}

/** A request, sent to the destination node. */
struct WireHopCall {
  1: required i64 id
  2: required string method
  3: required string target
  /** Alternating names and values. */
  4: required list<string> headers
  5: required binary body
  6: required i32 leftMillis
  7: required i32 targetLeftMillis
  8: required i32 rank
  9: required string serviceName
  10: required string route
  11: required bool idempotent
  /** The name of the client account that sent it, if it is known. */
  12: optional string account
  /** The weight of the account relative to others; 1 if unset. */
  13: optional double accountWeight
  /** When it was sent, on the steady clock of the sender, in milliseconds. */
  14: optional i64 sentMillis
  /** When it was sent, by the sender's time of day, in milliseconds since the epoch. */
  15: optional i64 sentAtMillis
  /** Calls whose outcomes have arrived since the last call, so that the receiver drops them. */
  16: optional list<i64> received
}

/** The backend server's complete answer. */
struct WireHopAnswer {
  1: required i64 id
  2: required i32 status
  3: required list<string> headers
  4: required binary body
  5: required WireLoad load
  /** Current work time of the backend server on a request of the route. */
  6: required i32 workMicros
}

/** The reason why the backend server gave no answer. */
struct WireHopFailure {
  1: required i64 id
  2: required i32 verdict
  3: required string code
  4: required bool reachedBackend
  5: required i32 retryAfterMillis
  6: required string detail
  7: required WireLoad load
}

/** Cancels a call whose outcome is no longer needed. */
struct WireHopCancel {
  1: required i64 id
}

/** Fails a call, unless it was sent to the backend server; its outcome is still needed. */
struct WireHopWithdrawal {
  1: required i64 id
}

/** A request that was in flight at a crash of a backend server, under one of its fingerprints. */
struct WireStrike {
  1: required string fingerprint
  /** Digest of its method and target. */
  2: required string targetDigest
  3: required string summary
  /** Identifies the crash. */
  4: required string crash
  5: required i32 ageMillis
  /** Whether the request has completed since then. */
  6: required bool cleared
}

/** Strikes as saved in the platform's store. */
struct WireSavedStrikes {
  1: required list<WireStrike> strikes
  /** The time of day at which the ages were computed, in milliseconds since the epoch. */
  2: required i64 savedAtMillis
}

/** Node records and strikes; a relay forwards them in its data centre unless relayed is set. */
struct WireNodeRecords {
  1: required list<WireNodeRecord> records
  2: required bool relayed
  3: optional list<WireStrike> strikes
}

/** Digest of the sender's state for anti-entropy; the receiver sends what the sender lacks. */
struct WirePulse {
  1: required i64 configVersion
  2: required i64 memberDigest
  3: required bool reply
  /** Number of nodes that the sender knows. */
  4: required i32 members
  /** Unset if only the versions are compared. */
  5: optional i64 strikeDigest
  6: optional i64 rolloutDigest
  /** When the request was sent, on the steady clock of its sender; a reply repeats it. */
  7: optional i64 askedNanos
  /** How long ago configVersion was known to be the newest; negative if unknown. */
  8: optional i32 ageMillis
  /** Digests of the strikes of each bucket; unset if strikeDigest is, and by earlier releases. */
  9: optional list<i32> strikeDigests
}

/** Hashes of the strikes of some buckets; the receiver sends those that the sender lacks. */
struct WireStrikeHashes {
  1: required list<i32> buckets
  2: required list<i64> hashes
  /** Whether the sender has received the hashes of the receiver. */
  3: required bool reply
}

/** A configuration, whole or as a patch on an older version. */
struct WireConfigContent {
  1: required i64 version
  /** The older version, or -1 if the configuration is whole. */
  2: required i64 base
  /** The patch in the format of ContentPatch. */
  3: required binary patch
}

/** Pulls the configuration if the receiver holds a version above the given one. */
struct WireConfigWanted {
  1: required i64 above
}

/** Checks that the connection works; the receiver returns it with reply set. */
struct WireHopPing {
  1: required bool reply
}

/**
 * Assigns a connection to a session: the calls of one sender, whichever connection carries them.
 * The receiver takes calls from the newest connection of a session only.
 */
struct WireHopSession {
  /** Identifies the session. */
  1: required i64 session
  /** Number of the connection; that of a newer one is higher. */
  2: required i64 connection
  /** Calls sent over earlier connections whose outcomes have not arrived. */
  3: required list<i64> pending
}

/** The reply to a session, sent before anything else over its connection. */
struct WireHopSessionReply {
  /** Identifies the run of the receiver. */
  1: required i64 run
  /**
   * The highest id of a call that has arrived in the session, so that higher ones never will; the
   * largest value if that is not known.
   */
  2: required i64 lastCall
  /** Pending calls whose outcomes follow over this connection. */
  3: required list<i64> known
}

/** A frame between two nodes. */
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
  11: quota.WireQuotaMessage quota
  12: rollout.WireRolloutMessage rollout
  13: WireHopWithdrawal withdrawal
  14: WireHopSession session
  15: WireHopSessionReply sessionReply
  16: WireStrikeHashes strikeHashes
}
