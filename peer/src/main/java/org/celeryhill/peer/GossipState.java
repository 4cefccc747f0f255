package org.celeryhill.peer;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;

import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.peerthrift.Digest;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.MemberStatus;
import org.celeryhill.peerthrift.RevisionReply;
import org.celeryhill.peerthrift.SyncReply;
import org.celeryhill.peerthrift.SyncRequest;
import org.celeryhill.peerthrift.UsageItem;

/**
 * Gossip protocol without a transport: takes messages and times, and returns calls to
 * make. Not thread-safe.
 */
final class GossipState {

	/** Rounds between exchanges with another data centre of the region. */
	private static final int REGION_ROUNDS = 4;

	/** Rounds between exchanges with another region. */
	private static final int REMOTE_ROUNDS = 8;

	/** Rounds between exchanges with an address of the host list that is not a member. */
	private static final int SEED_ROUNDS = 10;

	/** Addresses of the host list that a process without members tries per round. */
	private static final int JOIN_FANOUT = 3;

	/** Processes near this one that an announcement goes to. */
	private static final int ANNOUNCE_NEAR = 3;

	/** Rounds with a differing member table after which tables are compared. */
	private static final int SYNC_ROUNDS = 4;

	/**
	 * Time after which an unanswered request may be repeated, in nanoseconds. Above the
	 * round trip between regions, and short enough for many tries within 9 s.
	 */
	private static final long RETRY_NANOS = 500_000_000L;

	/** Least time between two comparisons of member tables, in nanoseconds. */
	private static final long SYNC_NANOS = 10_000_000_000L;

	/** Members. */
	private final MembershipTable members;

	/** Usage totals. */
	private final UsageTable usage;

	/** Revisions. */
	private final RevisionState revisions = new RevisionState();

	/** Source of choices. */
	private final Random random;

	/** Totals that have arrived and were not handed out yet. */
	private final List<UsageTotals> arrived = new ArrayList<>();

	/** Gossip rounds so far; also the heartbeat of this process. */
	private long rounds;

	/** Monotonic time of the last request for a revision, in nanoseconds. */
	private long fetchNanos;

	/** Monotonic time of the last comparison of member tables, in nanoseconds. */
	private long syncNanos;

	/** Digests in a row whose member hash differed. */
	private int differing;

	GossipState(PeerSettings settings, Random random, long nowNanos) {
		this.random = random;
		this.members = new MembershipTable(settings, random, nowNanos);
		this.usage = new UsageTable(this.members, nowNanos);
		this.fetchNanos = nowNanos - RETRY_NANOS;
		this.syncNanos = nowNanos - SYNC_NANOS;
	}

	/**
	 * Starts a gossip round.
	 * @param seeds the addresses of the host list
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the calls to make
	 */
	List<Outgoing> tick(List<InetSocketAddress> seeds, long nowNanos) {
		this.rounds++;
		this.members.startRound(this.rounds, nowNanos);
		this.usage.startRound(nowNanos);
		List<Outgoing> calls = new ArrayList<>();
		List<MemberRecord> alive = this.members.alive(nowNanos);
		addPeers(calls, alive, nowNanos);
		addSeeds(calls, alive, seeds, nowNanos);
		return calls;
	}

	private void addPeers(List<Outgoing> calls, List<MemberRecord> alive, long nowNanos) {
		List<MemberRecord> targets = new ArrayList<>(this.members.choose(alive, this.members::isNear, 1));
		if (isDue(REGION_ROUNDS)) {
			targets.addAll(this.members.choose(alive, this::isOtherInRegion, 1));
		}
		if (isDue(REMOTE_ROUNDS)) {
			targets.addAll(this.members.choose(alive, (one) -> !this.members.isInRegion(one), 1));
		}
		for (MemberRecord target : targets) {
			Digest digest = digest(target.getHost(), this.members.isNear(target), nowNanos);
			calls.add(new Outgoing.Exchange(MemberRecords.addressOf(target), digest));
		}
	}

	// The host hash spreads the rounds of different processes.
	private boolean isDue(int every) {
		return (this.rounds + this.members.self().getHost().hashCode()) % every == 0;
	}

	private boolean isOtherInRegion(MemberRecord record) {
		return this.members.isInRegion(record) && !this.members.isNear(record);
	}

	// Addresses that are not live members are tried for ever, so that a healed partition
	// is noticed by both sides.
	private void addSeeds(List<Outgoing> calls, List<MemberRecord> alive, List<InetSocketAddress> seeds,
			long nowNanos) {
		boolean isAlone = alive.size() == 1;
		if (!isAlone && !isDue(SEED_ROUNDS)) {
			return;
		}
		Set<InetSocketAddress> known = new HashSet<>();
		alive.forEach((member) -> known.add(MemberRecords.addressOf(member)));
		List<InetSocketAddress> unknown = new ArrayList<>(seeds);
		unknown.removeIf(known::contains);
		java.util.Collections.shuffle(unknown, this.random);
		int fanout = isAlone ? JOIN_FANOUT : 1;
		for (InetSocketAddress seed : unknown.subList(0, Math.min(fanout, unknown.size()))) {
			calls.add(new Outgoing.Exchange(seed, digest(null, false, nowNanos)));
		}
	}

	private Digest digest(String receiver, boolean isNear, long nowNanos) {
		return new Digest(this.members.self(), this.rounds, this.revisions.number(), this.members.count(),
				this.members.hash(), this.members.changes(receiver),
				isNear ? this.members.heartbeats(nowNanos) : List.of(), this.usage.toSend(receiver, isNear));
	}

	/**
	 * Takes a digest and returns the answer.
	 * @param digest the digest of the caller
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the digest of this process
	 */
	Digest onDigest(Digest digest, List<Outgoing> calls, long nowNanos) {
		take(digest, calls, nowNanos);
		MemberRecord sender = digest.getSender();
		return digest(sender.getHost(), this.members.isNear(sender), nowNanos);
	}

	/**
	 * Takes the answer to a digest.
	 * @param digest the digest of the peer
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onReply(Digest digest, List<Outgoing> calls, long nowNanos) {
		take(digest, calls, nowNanos);
	}

	private void take(Digest digest, List<Outgoing> calls, long nowNanos) {
		MemberRecord sender = digest.getSender();
		boolean isAlone = this.members.count() == 1;
		String from = sender.getHost();
		this.members.merge(sender, from, true, nowNanos);
		digest.getChanges().forEach((record) -> this.members.merge(record, from, true, nowNanos));
		this.members.heard(sender, digest.getHeartbeat(), nowNanos);
		if (this.members.isNear(sender)) {
			this.members.beat(digest.getHeartbeats(), nowNanos);
		}
		for (UsageItem item : digest.getUsage()) {
			this.usage.receive(item, from).ifPresent((totals) -> {
				this.arrived.add(totals);
				this.members.heardFrom(item.getDataCentre(), nowNanos);
			});
		}
		compareTables(digest, isAlone, calls, nowNanos);
		compareRevision(digest.getRevision(), sender, calls, nowNanos);
	}

	private void compareTables(Digest digest, boolean isAlone, List<Outgoing> calls, long nowNanos) {
		boolean isDifferent = digest.getMemberHash() != this.members.hash();
		this.differing = isDifferent ? this.differing + 1 : 0;
		boolean isDue = this.differing >= SYNC_ROUNDS && nowNanos - this.syncNanos >= SYNC_NANOS;
		if (isDifferent && (isAlone || isDue)) {
			this.syncNanos = nowNanos;
			this.differing = 0;
			SyncRequest request = new SyncRequest(new HashMap<>(this.members.hashes()));
			calls.add(new Outgoing.Sync(MemberRecords.addressOf(digest.getSender()), request));
		}
	}

	private void compareRevision(long number, MemberRecord peer, List<Outgoing> calls, long nowNanos) {
		if (number > this.revisions.number() && nowNanos - this.fetchNanos >= RETRY_NANOS) {
			this.fetchNanos = nowNanos;
			calls.add(new Outgoing.Fetch(MemberRecords.addressOf(peer), this.revisions.number()));
		}
	}

	/**
	 * Takes an announcement and returns the highest number held.
	 * @param number the announced number
	 * @param sender the announcing process
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the number that this process holds
	 */
	long onAnnounce(long number, MemberRecord sender, List<Outgoing> calls, long nowNanos) {
		compareRevision(number, sender, calls, nowNanos);
		return this.revisions.number();
	}

	/**
	 * Takes the answer to an announcement. A process that was paused learns from it that
	 * its revision is old.
	 * @param number the number that the peer holds
	 * @param peer the address of the peer
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onAnnounceReply(long number, InetSocketAddress peer, List<Outgoing> calls, long nowNanos) {
		if (number > this.revisions.number()) {
			this.fetchNanos = nowNanos;
			calls.add(new Outgoing.Fetch(peer, this.revisions.number()));
		}
	}

	/**
	 * Returns the answer to a request for a revision.
	 * @param known the number that the caller holds
	 * @return the revision that the caller lacks
	 */
	RevisionReply onFetch(long known) {
		return this.revisions.reply(known);
	}

	/**
	 * Takes a revision from a peer.
	 * @param reply the answer to a request
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the revision if it is new
	 */
	Optional<RevisionDocument> onFetchReply(RevisionReply reply, List<Outgoing> calls, long nowNanos) {
		this.fetchNanos = nowNanos - RETRY_NANOS;
		Optional<RevisionDocument> taken = this.revisions.apply(reply);
		taken.ifPresent((document) -> announce(calls, nowNanos));
		return taken;
	}

	/**
	 * Takes a revision that was accepted here.
	 * @param document the revision
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return true if its number is higher than the highest known
	 */
	boolean offer(RevisionDocument document, List<Outgoing> calls, long nowNanos) {
		boolean isTaken = this.revisions.offer(document);
		if (isTaken) {
			announce(calls, nowNanos);
		}
		return isTaken;
	}

	private void announce(List<Outgoing> calls, long nowNanos) {
		List<MemberRecord> alive = this.members.alive(nowNanos);
		List<MemberRecord> targets = new ArrayList<>(this.members.choose(alive, this.members::isNear, ANNOUNCE_NEAR));
		targets.addAll(this.members.choose(alive, this::isOtherInRegion, 1));
		targets.addAll(this.members.choose(alive, (one) -> !this.members.isInRegion(one), 1));
		for (MemberRecord target : targets) {
			calls.add(new Outgoing.Announce(MemberRecords.addressOf(target), this.revisions.number(),
					this.members.self()));
		}
	}

	/**
	 * Returns the answer to a comparison of member tables.
	 * @param request the hashes of the caller
	 * @return the members where the tables differ
	 */
	SyncReply onSync(SyncRequest request) {
		return new SyncReply(this.members.differing(request.getHashes()));
	}

	/**
	 * Takes the answer to a comparison of member tables.
	 * @param reply the members of the peer
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onSyncReply(SyncReply reply, long nowNanos) {
		reply.getMembers().forEach((record) -> this.members.merge(record, "", false, nowNanos));
	}

	/**
	 * Leaves.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the calls that tell a few peers
	 */
	List<Outgoing> leave(long nowNanos) {
		this.members.leave(nowNanos);
		List<Outgoing> calls = new ArrayList<>();
		List<MemberRecord> alive = this.members.alive(nowNanos);
		for (MemberRecord target : this.members.choose(alive, this.members::isNear, ANNOUNCE_NEAR)) {
			calls.add(new Outgoing.Exchange(MemberRecords.addressOf(target), digest(target.getHost(), true, nowNanos)));
		}
		return calls;
	}

	/**
	 * Sets the usage totals of this process.
	 * @param totals the totals
	 */
	void publish(UsageTotals totals) {
		this.usage.publish(totals);
	}

	/**
	 * Returns the usage totals that have arrived since the last call.
	 * @return the usage totals that have arrived since the last call
	 */
	List<UsageTotals> takeArrived() {
		List<UsageTotals> totals = List.copyOf(this.arrived);
		this.arrived.clear();
		return totals;
	}

	/**
	 * Returns the highest known revision.
	 * @return the highest known revision
	 */
	Optional<RevisionDocument> revision() {
		return this.revisions.current();
	}

	/**
	 * Returns the members that are believed to be alive, in order of id.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the members that are believed to be alive, in order of id
	 */
	List<Member> alive(long nowNanos) {
		return this.members.alive(nowNanos).stream().map(MemberRecords::toMember).toList();
	}

	/**
	 * Returns counts for the state dump.
	 * @return counts for the state dump
	 */
	Map<String, Long> counts() {
		return Map.of("rounds", this.rounds, "members", (long) this.members.count(), "near",
				(long) this.members.nearCount(), "revision", this.revisions.number(), "leaving",
				(this.members.self().getStatus() == MemberStatus.LEAVING) ? 1L : 0L);
	}

}
