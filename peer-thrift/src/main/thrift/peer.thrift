/**
 * Messages between the processes of celeryhill. Times never cross hosts; ages are decided
 * on the clock of the receiver. Field numbers are never reused.
 */
namespace java org.celeryhill.peerthrift

/** What is known of a process. */
enum MemberStatus {
  ALIVE = 1,
  LEAVING = 2,
  DEAD = 3
}

/** A process under one generation. A higher generation overrides every lower one. */
struct MemberRecord {
  1: required string host
  /** IP number without a port. */
  2: required string address
  3: required i32 port
  4: required string dataCentre
  5: required string region
  6: required i64 generation
  7: required MemberStatus status
}

/** Heartbeat of a process near the sender. */
struct Heartbeat {
  /** Hash of host and generation. */
  1: required i32 member
  /** Number of gossip rounds of the process. */
  2: required i64 count
}

/** Tokens that one organisation has used, by priority class in order of urgency. */
struct OrganisationUsage {
  1: required string organisation
  2: required list<i64> tokens
}

/** Usage totals of one process, or of all processes of a data centre. */
struct UsageItem {
  1: required string host
  2: required string dataCentre
  3: required string incarnation
  4: required i64 sequence
  5: required list<OrganisationUsage> organisations
  6: required bool isAggregate
}

/** What a process tells another one in a gossip round. */
struct Digest {
  1: required MemberRecord sender
  2: required i64 heartbeat
  /** Number of the highest configuration revision that the sender holds, 0 for none. */
  3: required i64 revision
  4: required i32 memberCount
  5: required i64 memberHash
  6: required list<MemberRecord> changes
  7: required list<Heartbeat> heartbeats
  8: required list<UsageItem> usage
}

/** Asks for the members of the data centres in which tables differ. */
struct SyncRequest {
  1: required map<string, i64> hashes
}

/** Members of the data centres in which tables differ. */
struct SyncReply {
  1: required list<MemberRecord> members
}

/** A revision, either whole or as the difference to one that the receiver holds. */
struct RevisionReply {
  /** Number of the revision, 0 if the sender holds none that is higher. */
  1: required i64 number
  /** SHA-256 digest of the whole document in lower-case hexadecimal. */
  2: required string digest
  /** Number of the revision that the difference applies to, 0 for a whole document. */
  3: required i64 base
  4: required map<string, string> changed
  5: required list<string> removed
}

service PeerService {

  /** Exchanges digests. */
  Digest exchange(1: Digest digest)

  /** Announces a revision; returns the highest number that the receiver holds. */
  i64 announce(1: i64 revision, 2: MemberRecord sender)

  /** Returns the highest revision if it is higher than the known one. */
  RevisionReply fetch(1: i64 known)

  /** Returns members where tables differ. */
  SyncReply sync(1: SyncRequest request)

}
