/** Records of the change stream, and the folded state that is stored and exchanged. */
namespace java org.azurearch.thrift

/** A document; without a site it is the base. */
struct WireDocument {
  1: optional string site
  2: required string file
  3: required binary text
}

/** A change published by an operator; the kind is the ordinal of Change.Kind. */
struct WireChange {
  1: required string id
  2: required i32 kind
  3: required string firm
  4: required string operatorId
  5: required i32 ruleSet
  6: required i64 expectedVersion
  7: optional list<WireDocument> documents
  8: optional list<string> removedOverlays
  9: required i64 undoTo
  10: required string note
  11: required i64 createdAtMillis
}

/** A record of the log inside a delta. */
struct WireRecord {
  1: required i64 appendedAtMillis
  2: required binary data
}

/** Consecutive records of the log. */
struct WireRecords {
  1: required i64 firstOffset
  2: required list<WireRecord> records
}

/** A document whose text is an index into the texts of WireState. */
struct WireDocumentRef {
  1: optional string site
  2: required string file
  3: required i32 text
}

/** A retained version. */
struct WireVersion {
  1: required i64 number
  2: required list<WireDocumentRef> documents
}

/** The last change to a document. */
struct WireTouch {
  1: optional string site
  2: required i64 version
  3: required string change
}

/** A problem of a change. */
struct WireProblem {
  1: required string code
  2: required string file
  3: required i32 line
  4: required string message
}

/** The decision on a change; the status is the ordinal of ChangeOutcome.Status. */
struct WireOutcome {
  1: required string change
  2: required string operatorId
  3: required i64 offset
  4: required i64 appendedAtMillis
  5: required i32 status
  6: required i64 version
  7: optional string winner
  8: optional list<WireProblem> problems
  9: required string note
}

/** The folded state of a firm. */
struct WireFirm {
  1: required string firm
  2: required i64 version
  3: required list<WireVersion> versions
  4: required list<WireTouch> touches
  5: required list<WireOutcome> outcomes
}

/** The folded state of all firms; each distinct text is stored once. */
struct WireState {
  1: required i64 offset
  2: required binary digest
  3: required i32 ruleSet
  4: required i64 skipped
  5: required list<WireFirm> firms
  6: required list<binary> texts
}
