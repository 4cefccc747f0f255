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
 * State machine of the gossip protocol, independent of the transport: handles messages
 * and time, and returns the calls to make. Not thread-safe.
 */
final class GossipState {

	/** Number of rounds between exchanges with another data centre of the region. */
	private static final int REGION_EXCHANGE_ROUNDS = 4;

	/** Number of rounds between exchanges with another region. */
	private static final int REMOTE_EXCHANGE_ROUNDS = 8;

	/**
	 * Number of rounds between exchanges with a seed address that is not a live member.
	 */
	private static final int SEED_EXCHANGE_ROUNDS = 10;

	/**
	 * Number of seed addresses that a process without other members contacts per round.
	 */
	private static final int JOIN_FANOUT = 3;

	/** Number of neighbours that are notified of a revision or a departure. */
	private static final int ANNOUNCE_FANOUT = 3;

	/**
	 * Number of consecutive digests with a differing member hash after which the
	 * membership tables are synchronised.
	 */
	private static final int SYNC_AFTER_MISMATCHES = 4;

	/**
	 * Time after which an unanswered request for a revision may be repeated, in
	 * nanoseconds. It exceeds the round-trip time between regions and allows many
	 * attempts within 9 s.
	 */
	private static final long FETCH_RETRY_NANOS = 500_000_000L;

	/** Minimum time between two synchronisations of membership tables, in nanoseconds. */
	private static final long MIN_SYNC_INTERVAL_NANOS = 10_000_000_000L;

	private final MembershipTable members;

	private final UsageTable usage;

	private final RevisionHistory revisions = new RevisionHistory();

	/** Source of random choices. */
	private final Random random;

	/** Usage totals that have been received but not delivered yet. */
	private final List<UsageTotals> receivedUsage = new ArrayList<>();

	/** Number of gossip rounds so far; also the heartbeat count of this process. */
	private long rounds;

	/** Monotonic time of the last request for a revision, in nanoseconds. */
	private long lastFetchNanos;

	/**
	 * Monotonic time of the last synchronisation of membership tables, in nanoseconds.
	 */
	private long lastSyncNanos;

	/** Number of consecutive digests whose member hash differed. */
	private int consecutiveMismatches;

	GossipState(PeerSettings settings, Random random, long nowNanos) {
		this.random = random;
		this.members = new MembershipTable(settings, random, nowNanos);
		this.usage = new UsageTable(this.members, nowNanos);
		this.lastFetchNanos = nowNanos - FETCH_RETRY_NANOS;
		this.lastSyncNanos = nowNanos - MIN_SYNC_INTERVAL_NANOS;
	}

	/**
	 * Starts a gossip round.
	 * @param seeds the seed addresses
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the calls to make
	 */
	List<OutgoingCall> runRound(List<InetSocketAddress> seeds, long nowNanos) {
		this.rounds++;
		this.members.startRound(this.rounds, nowNanos);
		this.usage.startRound(nowNanos);
		List<OutgoingCall> calls = new ArrayList<>();
		List<MemberRecord> alive = this.members.findAlive(nowNanos);
		addMemberExchanges(calls, alive, nowNanos);
		addSeedExchanges(calls, alive, seeds, nowNanos);
		return calls;
	}

	private void addMemberExchanges(List<OutgoingCall> calls, List<MemberRecord> alive, long nowNanos) {
		List<MemberRecord> targets = new ArrayList<>(this.members.selectRandom(alive, this.members::isNeighbour, 1));
		if (isDue(REGION_EXCHANGE_ROUNDS)) {
			targets.addAll(this.members.selectRandom(alive, this::isOtherInRegion, 1));
		}
		if (isDue(REMOTE_EXCHANGE_ROUNDS)) {
			targets.addAll(this.members.selectRandom(alive, (candidate) -> !this.members.isInRegion(candidate), 1));
		}
		for (MemberRecord target : targets) {
			Digest digest = digest(target.getHost(), this.members.isNeighbour(target), nowNanos);
			calls.add(new OutgoingCall.Exchange(MemberRecords.addressOf(target), digest));
		}
	}

	// The hash of the host id spreads the exchanges of different processes over the
	// rounds.
	private boolean isDue(int period) {
		return (this.rounds + this.members.self().getHost().hashCode()) % period == 0;
	}

	private boolean isOtherInRegion(MemberRecord record) {
		return this.members.isInRegion(record) && !this.members.isNeighbour(record);
	}

	// Addresses that are not live members are contacted indefinitely, so that both sides
	// notice when a partition has healed.
	private void addSeedExchanges(List<OutgoingCall> calls, List<MemberRecord> alive, List<InetSocketAddress> seeds,
			long nowNanos) {
		boolean isOnlyMember = alive.size() == 1;
		if (!isOnlyMember && !isDue(SEED_EXCHANGE_ROUNDS)) {
			return;
		}
		Set<InetSocketAddress> known = new HashSet<>();
		alive.forEach((member) -> known.add(MemberRecords.addressOf(member)));
		List<InetSocketAddress> unknown = new ArrayList<>(seeds);
		unknown.removeIf(known::contains);
		java.util.Collections.shuffle(unknown, this.random);
		int fanout = isOnlyMember ? JOIN_FANOUT : 1;
		for (InetSocketAddress seed : unknown.subList(0, Math.min(fanout, unknown.size()))) {
			calls.add(new OutgoingCall.Exchange(seed, digest(null, false, nowNanos)));
		}
	}

	private Digest digest(String receiver, boolean isNeighbour, long nowNanos) {
		return new Digest(this.members.self(), this.rounds, this.revisions.number(), this.members.memberCount(),
				this.members.membershipHash(), this.members.selectChangedRecords(receiver),
				isNeighbour ? this.members.selectHeartbeats(nowNanos) : List.of(),
				this.usage.selectItems(receiver, isNeighbour));
	}

	/**
	 * Handles a digest and returns the reply.
	 * @param digest the digest of the caller
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the digest of this process
	 */
	Digest onDigest(Digest digest, List<OutgoingCall> calls, long nowNanos) {
		handleDigest(digest, calls, nowNanos);
		MemberRecord sender = digest.getSender();
		return digest(sender.getHost(), this.members.isNeighbour(sender), nowNanos);
	}

	/**
	 * Handles the reply to a digest.
	 * @param digest the digest of the peer
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onDigestReply(Digest digest, List<OutgoingCall> calls, long nowNanos) {
		handleDigest(digest, calls, nowNanos);
	}

	private void handleDigest(Digest digest, List<OutgoingCall> calls, long nowNanos) {
		MemberRecord sender = digest.getSender();
		boolean isOnlyMember = this.members.memberCount() == 1;
		String from = sender.getHost();
		this.members.merge(sender, from, true, nowNanos);
		digest.getChanges().forEach((record) -> this.members.merge(record, from, true, nowNanos));
		this.members.recordHeartbeat(sender, digest.getHeartbeat(), nowNanos);
		if (this.members.isNeighbour(sender)) {
			this.members.mergeHeartbeats(digest.getHeartbeats(), nowNanos);
		}
		for (UsageItem item : digest.getUsage()) {
			this.usage.receive(item, from).ifPresent((totals) -> {
				this.receivedUsage.add(totals);
				this.members.recordContact(item.getDataCentre(), nowNanos);
			});
		}
		syncIfMismatched(digest, isOnlyMember, calls, nowNanos);
		fetchIfNewer(digest.getRevision(), sender, calls, nowNanos);
	}

	private void syncIfMismatched(Digest digest, boolean isOnlyMember, List<OutgoingCall> calls, long nowNanos) {
		boolean isDifferent = digest.getMemberHash() != this.members.membershipHash();
		this.consecutiveMismatches = isDifferent ? this.consecutiveMismatches + 1 : 0;
		boolean isSyncDue = this.consecutiveMismatches >= SYNC_AFTER_MISMATCHES
				&& nowNanos - this.lastSyncNanos >= MIN_SYNC_INTERVAL_NANOS;
		if (isDifferent && (isOnlyMember || isSyncDue)) {
			this.lastSyncNanos = nowNanos;
			this.consecutiveMismatches = 0;
			SyncRequest request = new SyncRequest(new HashMap<>(this.members.dataCentreHashes()));
			calls.add(new OutgoingCall.Sync(MemberRecords.addressOf(digest.getSender()), request));
		}
	}

	private void fetchIfNewer(long number, MemberRecord peer, List<OutgoingCall> calls, long nowNanos) {
		if (number > this.revisions.number() && nowNanos - this.lastFetchNanos >= FETCH_RETRY_NANOS) {
			this.lastFetchNanos = nowNanos;
			calls.add(new OutgoingCall.Fetch(MemberRecords.addressOf(peer), this.revisions.number()));
		}
	}

	/**
	 * Handles an announcement and returns the highest revision number known.
	 * @param number the announced number
	 * @param sender the record of the announcing process
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the highest revision number that this process holds
	 */
	long onAnnounce(long number, MemberRecord sender, List<OutgoingCall> calls, long nowNanos) {
		fetchIfNewer(number, sender, calls, nowNanos);
		return this.revisions.number();
	}

	/**
	 * Handles the reply to an announcement. A process that was paused learns from it that
	 * its revision is outdated.
	 * @param number the highest revision number that the peer holds
	 * @param peer the address of the peer
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onAnnounceReply(long number, InetSocketAddress peer, List<OutgoingCall> calls, long nowNanos) {
		if (number > this.revisions.number()) {
			this.lastFetchNanos = nowNanos;
			calls.add(new OutgoingCall.Fetch(peer, this.revisions.number()));
		}
	}

	/**
	 * Returns the reply to a request for a revision.
	 * @param known the highest revision number that the caller holds
	 * @return the revision that the caller lacks; number 0 if there is none
	 */
	RevisionReply onFetch(long known) {
		return this.revisions.createReply(known);
	}

	/**
	 * Handles the reply to a request for a revision.
	 * @param reply the reply of the peer
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the revision if it is new
	 */
	Optional<RevisionDocument> onFetchReply(RevisionReply reply, List<OutgoingCall> calls, long nowNanos) {
		this.lastFetchNanos = nowNanos - FETCH_RETRY_NANOS;
		Optional<RevisionDocument> applied = this.revisions.applyReply(reply);
		applied.ifPresent((document) -> announceRevision(calls, nowNanos));
		return applied;
	}

	/**
	 * Handles a revision that was accepted by this process.
	 * @param document the revision
	 * @param calls receives the calls to make
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return true if its number is higher than the highest known one
	 */
	boolean addRevision(RevisionDocument document, List<OutgoingCall> calls, long nowNanos) {
		boolean isAdded = this.revisions.addIfNewer(document);
		if (isAdded) {
			announceRevision(calls, nowNanos);
		}
		return isAdded;
	}

	private void announceRevision(List<OutgoingCall> calls, long nowNanos) {
		List<MemberRecord> alive = this.members.findAlive(nowNanos);
		List<MemberRecord> targets = new ArrayList<>(
				this.members.selectRandom(alive, this.members::isNeighbour, ANNOUNCE_FANOUT));
		targets.addAll(this.members.selectRandom(alive, this::isOtherInRegion, 1));
		targets.addAll(this.members.selectRandom(alive, (candidate) -> !this.members.isInRegion(candidate), 1));
		for (MemberRecord target : targets) {
			calls.add(new OutgoingCall.Announce(MemberRecords.addressOf(target), this.revisions.number(),
					this.members.self()));
		}
	}

	/**
	 * Returns the reply to a synchronisation request.
	 * @param request the hashes of the caller's membership table
	 * @return the members for which the tables differ
	 */
	SyncReply onSync(SyncRequest request) {
		return new SyncReply(this.members.findDifferingMembers(request.getHashes()));
	}

	/**
	 * Handles the reply to a synchronisation request.
	 * @param reply the members of the peer
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void onSyncReply(SyncReply reply, long nowNanos) {
		reply.getMembers().forEach((record) -> this.members.merge(record, "", false, nowNanos));
	}

	/**
	 * Marks this process as leaving.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the calls that notify a few peers
	 */
	List<OutgoingCall> leave(long nowNanos) {
		this.members.markLeaving(nowNanos);
		List<OutgoingCall> calls = new ArrayList<>();
		List<MemberRecord> alive = this.members.findAlive(nowNanos);
		for (MemberRecord target : this.members.selectRandom(alive, this.members::isNeighbour, ANNOUNCE_FANOUT)) {
			calls.add(new OutgoingCall.Exchange(MemberRecords.addressOf(target),
					digest(target.getHost(), true, nowNanos)));
		}
		return calls;
	}

	/**
	 * Sets the usage totals of this process.
	 * @param totals the totals
	 */
	void publishUsage(UsageTotals totals) {
		this.usage.setOwnTotals(totals);
	}

	/**
	 * Returns and removes the usage totals that have been received since the last call.
	 * @return the received totals
	 */
	List<UsageTotals> takeReceivedUsage() {
		List<UsageTotals> totals = List.copyOf(this.receivedUsage);
		this.receivedUsage.clear();
		return totals;
	}

	/**
	 * Returns the highest known revision.
	 * @return the revision, or empty before the first one
	 */
	Optional<RevisionDocument> revision() {
		return this.revisions.highestRevision();
	}

	/**
	 * Returns the members that are considered alive, including this process.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the members ordered by host id
	 */
	List<Member> aliveMembers(long nowNanos) {
		return this.members.findAlive(nowNanos).stream().map(MemberRecords::toMember).toList();
	}

	/**
	 * Returns counts for the state dump.
	 * @return the counts by name
	 */
	Map<String, Long> counts() {
		return Map.of("rounds", this.rounds, "members", (long) this.members.memberCount(), "near",
				(long) this.members.neighbourCount(), "revision", this.revisions.number(), "leaving",
				(this.members.self().getStatus() == MemberStatus.LEAVING) ? 1L : 0L);
	}

}
