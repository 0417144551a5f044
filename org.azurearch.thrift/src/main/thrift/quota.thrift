/** Messages by which nodes share the quotas of client accounts. */
namespace java org.azurearch.thrift

/** A node delegates its base share, reports its tokens and asks for more. */
struct WireQuotaAsk {
  1: required string node
  2: required i64 epoch
  3: required i64 sequence
  4: required i64 acknowledged
  /** When the sender sent it, in milliseconds on its steady clock. */
  5: required i64 sentAtMillis
  6: required i64 echoEpoch
  7: required i64 echoMillis
  /** Number of nodes, of which the sender delegates its share; 0 for no delegation. */
  8: required i32 members
  9: required bool release
  10: required list<string> accounts
  /** For each account: tokens held, needed, needed soon, wanted ahead, returned. */
  11: required list<i32> figures
  /** The partition of the accounts that the message is about; 0 if absent. */
  12: optional i32 partition
  /** For each account: tokens for which less urgent requests wait; none if absent. */
  13: optional list<i32> others
}

/** The coordinator's answer. */
struct WireQuotaReply {
  1: required string coordinator
  2: required i64 epoch
  3: required i64 sequence
  /** When the sender sent it, in milliseconds on its steady clock. */
  4: required i64 sentAtMillis
  5: required i64 echoMillis
  6: required bool released
  7: required list<string> accounts
  /** For each account: urgent tokens, tokens to hold, milliseconds until more are available. */
  8: required list<i32> figures
  /** The partition of the accounts that the message is about; 0 if absent. */
  9: optional i32 partition
}

/** A message about quotas between two nodes. */
union WireQuotaMessage {
  1: WireQuotaAsk ask
  2: WireQuotaReply reply
}
