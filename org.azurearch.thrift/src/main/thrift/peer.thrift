/**
 * Requests and replies between nodes. They are sealed with the shared key of the mesh. Without a
 * shared key, TLS with certificates on both sides protects the connection instead.
 */
namespace java org.azurearch.thrift

/** IP address and port. */
struct WireAddress {
  1: required string host
  2: required i32 port
}

/** A backend server beside a node. */
struct WireEndpoint {
  1: required string firm
  2: required string serviceName
  3: required i32 state
  4: required i32 slots
  5: required i64 readySinceMillis
}

/** The membership record of a node. */
struct WireMember {
  1: required string node
  2: required string dataCentre
  3: required string region
  4: required i64 incarnation
  5: required i64 sequence
  6: required i32 state
  7: required WireAddress peer
  8: required WireAddress calls
  9: required WireAddress admin
  10: optional list<WireEndpoint> endpoints
}

/** An entry of the replicated board. */
struct WireBoardEntry {
  1: required string kind
  2: required string key
  3: required string value
  4: required i64 expiresAtMillis
}

/** Membership updates piggybacked on another message. */
struct WireGossip {
  1: optional list<WireMember> members
  2: optional list<WireBoardEntry> board
}

/** Asks a node whether it is alive. */
struct WirePing {
  1: required string target
  2: optional WireGossip gossip
}

/** Asks a node to ping another one. */
struct WireIndirectPing {
  1: required string target
  2: required WireAddress address
  3: optional WireGossip gossip
}

/** Reply to a ping, direct or indirect. */
struct WirePong {
  1: required bool alive
  2: optional WireGossip gossip
}

/** The version of a node's record. */
struct WireMemberVersion {
  1: required string node
  2: required i64 incarnation
  3: required i64 sequence
  4: required i32 state
}

/**
 * Requests the members and board entries that differ from the sender's: first by the hash of the
 * view, then by the record versions in the buckets whose hashes differ.
 */
struct WireSync {
  /** Hash over the reachable records and the board, to detect that nothing differs. */
  1: required i64 viewHash
  2: optional WireGossip gossip
  /** Whether the sender has no records yet and requests all. */
  3: required bool whole
  /** The buckets covered by the versions below. */
  4: optional list<i32> buckets
  /** The sender's record versions in these buckets. */
  5: optional list<WireMemberVersion> versions
}

/** Reply to a membership synchronisation. */
struct WireSyncReply {
  1: required bool same
  2: optional WireGossip gossip
  /** The hash of each bucket, when the view hashes differ. */
  3: optional list<i64> bucketHashes
  /** Nodes for which the requester holds the newer record. */
  4: optional list<string> wanted
}

/** Position in the folded change stream. */
struct WirePosition {
  1: required i64 offset
  2: required binary digest
}

/** Log records between two positions, compressed relative to the state at the base. */
struct WireDelta {
  1: required WirePosition base
  2: required WirePosition target
  3: required binary payload
}

/** Pushes a delta down the tree. */
struct WirePush {
  1: required WireDelta delta
  /** Nodes that the receiver forwards the delta to. */
  2: optional list<string> subtree
}

/** Answer to a push. */
struct WirePushReply {
  1: required WirePosition position
}

/** Anti-entropy: reports the sender's position and requests the records that follow it. */
struct WirePull {
  1: required string node
  2: required WirePosition position
  3: required i32 maxBytes
  4: optional string dataCentre
}

/**
 * Answer to a pull: the receiver's position and, if it is later, either a delta or the flag that the
 * sender needs a snapshot.
 */
struct WirePullReply {
  1: required WirePosition position
  2: optional WireDelta delta
  3: required bool snapshotNeeded
}

/** Requests the manifest of a snapshot of the current state. */
struct WireManifestRequest {
}

/** The chunks of a snapshot, in order, by digest. */
struct WireManifest {
  1: required WirePosition position
  2: required list<binary> chunks
  3: required i64 totalBytes
}

/** Requests a chunk of a snapshot. */
struct WireChunkRequest {
  1: required binary digest
}

/** A chunk; the data is absent if the receiver does not have it. */
struct WireChunk {
  1: required binary digest
  2: optional binary data
}

/** Asks a reader which nodes of its data centre have reached an offset. */
struct WireProgressRequest {
  1: required i64 offset
}

/** The last offset that a node has reported. */
struct WireNodeProgress {
  1: required string node
  2: required i64 offset
  3: required i64 heardMillisAgo
}

/** How many nodes of a data centre have reached the requested offset, and some that have not. */
struct WireProgress {
  1: required string dataCentre
  2: required WirePosition position
  3: required i32 total
  4: required i32 inForce
  5: optional list<WireNodeProgress> laggards
}

/** The receiver is busy; the request may be sent again after the delay. */
struct WireBusy {
  1: required i64 retryAfterMillis
}

/** The receiver refuses the request. The code is the text form of an ErrorCode. */
struct WireRefused {
  1: required string code
  2: required string message
}

union PeerRequest {
  1: WirePing ping
  2: WireIndirectPing indirectPing
  3: WireSync sync
  4: WirePush push
  5: WirePull pull
  6: WireManifestRequest manifest
  7: WireChunkRequest chunk
  8: WireProgressRequest progress
}

union PeerReply {
  1: WirePong pong
  2: WireSyncReply sync
  3: WirePushReply push
  4: WirePullReply pull
  5: WireManifest manifest
  6: WireChunk chunk
  7: WireProgress progress
  8: WireBusy busy
  9: WireRefused refused
}

/** The service that a node provides to its peers. */
service Peer {
  /** Opens a sealed PeerRequest, handles it and returns the sealed PeerReply. */
  binary exchange(1: binary sealed)
}
