package org.celeryhill.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

import org.celeryhill.peerthrift.Heartbeat;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.MemberStatus;

/**
 * What this process knows of all processes. Heartbeats are kept only for processes near
 * this one: those of its data centre, or of its region while that is small. Of the others
 * it learns by records that their own data centre spreads, and takes a whole data centre
 * as unreachable when nothing has come from it for long. Not thread-safe.
 */
final class MembershipTable {

	/**
	 * Time after which a silent remote data centre counts as unreachable. Its sums come
	 * every 12 s, and a single one reaches about seven in ten processes.
	 */
	private static final long REMOTE_TIMEOUT_NANOS = 120_000_000_000L;

	/** Time for which dead members are kept, so that old records do not revive them. */
	private static final long TOMBSTONE_NANOS = 7_200_000_000_000L;

	/** Heartbeats in one digest. */
	private static final int MAX_DIGEST_HEARTBEATS = 11;

	/** Time within which a heartbeat counts as fresh. */
	private static final long MAX_FORWARDED_AGE_NANOS = 4_000_000_000L;

	/** Times that a changed record is sent on; comparisons of tables repair the rest. */
	private static final int RECORD_SENDS = 4;

	/** Records in one digest. */
	private static final int MAX_DIGEST_RECORDS = 6;

	/** Settings of this process. */
	private final PeerSettings settings;

	/** Members by id, this process included. */
	private final TreeMap<String, MemberEntry> members = new TreeMap<>();

	/** Monotonic time at which something came from a data centre, in nanoseconds. */
	private final Map<String, Long> dataCentreContactNanos = new HashMap<>();

	/** Source of choices. */
	private final Random random;

	/** Record of this process. */
	private MemberRecord self;

	/** Monotonic time of the last round, in nanoseconds. */
	private long lastRoundNanos;

	/** MemberSummary of the members, or null after a change. */
	private MemberSummary summary;

	/** Members whose records are still to be sent. */
	private final Set<MemberEntry> pendingRecords = new LinkedHashSet<>();

	MembershipTable(PeerSettings settings, Random random, long nowNanos) {
		this.settings = settings;
		this.random = random;
		this.lastRoundNanos = nowNanos;
		this.self = new MemberRecord(settings.host().value(), settings.address().getAddress().getHostAddress(),
				settings.address().getPort(), settings.dataCentre().value(), settings.region().value(),
				settings.generation(), MemberStatus.ALIVE);
		this.members.put(this.self.getHost(), new MemberEntry(this.self, "", nowNanos));
	}

	/**
	 * Returns the record of this process.
	 * @return the record of this process
	 */
	MemberRecord self() {
		return this.self;
	}

	/**
	 * Starts a gossip round.
	 * @param heartbeatCount the heartbeat of this process
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void startRound(long heartbeatCount, long nowNanos) {
		compensateForPause(nowNanos);
		MemberEntry own = this.members.get(this.self.getHost());
		own.updateHeartbeat(heartbeatCount, nowNanos);
		declareDead(nowNanos);
		boolean isPurged = this.members.values()
			.removeIf((entry) -> entry.isDead() && nowNanos - entry.storedNanos > TOMBSTONE_NANOS);
		if (isPurged) {
			this.summary = null;
		}
	}

	// After a pause of this process every heartbeat looks old; the others are not to
	// blame.
	private void compensateForPause(long nowNanos) {
		long pause = nowNanos - this.lastRoundNanos - 2 * this.settings.roundPeriod().toNanos();
		this.lastRoundNanos = nowNanos;
		if (pause <= 0) {
			return;
		}
		this.members.values().forEach((entry) -> entry.heartbeatNanos += pause);
		this.dataCentreContactNanos.replaceAll((dataCentre, nanos) -> nanos + pause);
	}

	// Only the larger part of a divided group may declare others dead.
	private void declareDead(long nowNanos) {
		int freshCount = 0;
		int totalCount = 0;
		List<MemberEntry> silent = new ArrayList<>();
		for (MemberEntry entry : summary().neighbours) {
			totalCount++;
			long age = nowNanos - entry.heartbeatNanos;
			freshCount += (age < this.settings.suspectAfter().toNanos()) ? 1 : 0;
			if (age > this.settings.deadAfter().toNanos() && entry.record != this.self) {
				silent.add(entry);
			}
		}
		// Of two processes neither is the larger part; a false record is refuted later.
		if (freshCount * 2 > totalCount || totalCount == 2) {
			silent.forEach(
					(entry) -> merge(MemberRecords.withStatus(entry.record, MemberStatus.DEAD), "", true, nowNanos));
		}
	}

	/**
	 * Takes a record. A higher generation overrides a lower one; within a generation a
	 * later status overrides an earlier one. A false record of this process is answered
	 * with a higher generation.
	 * @param record the record
	 * @param sender the process that it came from
	 * @param isForwarded whether to send the record on; false for a comparison of tables,
	 * which every process makes for itself
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return true if the table changed
	 */
	boolean merge(MemberRecord record, String sender, boolean isForwarded, long nowNanos) {
		if (record.getHost().equals(this.self.getHost())) {
			return refute(record, nowNanos);
		}
		MemberEntry old = this.members.get(record.getHost());
		if (old != null && !MemberRecords.isNewer(record, old.record)) {
			return false;
		}
		if (old == null && record.getStatus() == MemberStatus.DEAD) {
			return false;
		}
		putRecord(new MemberRecord(record), sender, isForwarded, nowNanos);
		return true;
	}

	private boolean refute(MemberRecord record, long nowNanos) {
		boolean isFalse = record.getGeneration() > this.self.getGeneration()
				|| (record.getGeneration() == this.self.getGeneration()
						&& record.getStatus().getValue() > this.self.getStatus().getValue());
		if (!isFalse) {
			return false;
		}
		this.self = new MemberRecord(this.self);
		this.self.setGeneration(record.getGeneration() + 1);
		putRecord(this.self, "", false, nowNanos);
		return true;
	}

	private void putRecord(MemberRecord record, String sender, boolean isForwarded, long nowNanos) {
		MemberEntry entry = new MemberEntry(record, sender, nowNanos);
		MemberEntry old = this.members.put(record.getHost(), entry);
		if (old != null && old.record.getGeneration() == record.getGeneration()) {
			entry.heartbeatCount = old.heartbeatCount;
			entry.heartbeatNanos = old.heartbeatNanos;
		}
		this.summary = null;
		this.pendingRecords.remove(old);
		if (isForwarded) {
			entry.sendsLeft = RECORD_SENDS;
			this.pendingRecords.add(entry);
		}
	}

	private MemberSummary summary() {
		if (this.summary == null) {
			this.summary = new MemberSummary(this.members.values(), this.self);
		}
		return this.summary;
	}

	/**
	 * Says that this process stops.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void markLeaving(long nowNanos) {
		this.self = MemberRecords.withStatus(this.self, MemberStatus.LEAVING);
		putRecord(this.self, "", false, nowNanos);
	}

	/**
	 * Takes a heartbeat that came from the process itself.
	 * @param sender the record of the process
	 * @param heartbeatCount the heartbeat or the number wanted
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void recordHeartbeat(MemberRecord sender, long heartbeatCount, long nowNanos) {
		MemberEntry entry = this.members.get(sender.getHost());
		if (entry != null && entry.record.getGeneration() == sender.getGeneration()) {
			entry.updateHeartbeat(heartbeatCount, nowNanos);
		}
		recordContact(sender.getDataCentre(), nowNanos);
	}

	/**
	 * Takes the news that a data centre is reachable.
	 * @param dataCentre the data centre
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void recordContact(String dataCentre, long nowNanos) {
		this.dataCentreContactNanos.merge(dataCentre, nowNanos, Math::max);
	}

	/**
	 * Takes heartbeats that came through another process.
	 * @param heartbeats the heartbeats
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void mergeHeartbeats(List<Heartbeat> heartbeats, long nowNanos) {
		if (heartbeats.isEmpty()) {
			return;
		}
		Map<Integer, Long> counts = new HashMap<>();
		heartbeats.forEach((heartbeat) -> counts.put(heartbeat.getMember(), heartbeat.getCount()));
		for (MemberEntry entry : summary().neighbours) {
			Long count = counts.get(entry.heartbeatId);
			if (count != null) {
				entry.updateHeartbeat(count, nowNanos);
			}
		}
	}

	/**
	 * Returns fresh heartbeats of members near this process, chosen at random.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return fresh heartbeats of members near this process, chosen at random
	 */
	List<Heartbeat> selectHeartbeats(long nowNanos) {
		List<Heartbeat> recentHeartbeats = new ArrayList<>();
		for (MemberEntry entry : summary().neighbours) {
			if (nowNanos - entry.heartbeatNanos < MAX_FORWARDED_AGE_NANOS && entry.record != this.self) {
				recentHeartbeats.add(new Heartbeat(entry.heartbeatId, entry.heartbeatCount));
			}
		}
		java.util.Collections.shuffle(recentHeartbeats, this.random);
		return new ArrayList<>(recentHeartbeats.subList(0, Math.min(MAX_DIGEST_HEARTBEATS, recentHeartbeats.size())));
	}

	/**
	 * Returns records to spread, those sent longest ago first, and counts them as sent
	 * once.
	 * @param receiver the process to send to, or null for an unknown one; records that
	 * came from it are left out
	 * @return the records
	 */
	List<MemberRecord> selectChangedRecords(String receiver) {
		List<MemberRecord> changes = new ArrayList<>();
		for (MemberEntry entry : new ArrayList<>(this.pendingRecords)) {
			if (changes.size() < MAX_DIGEST_RECORDS && !entry.source.equals(receiver)) {
				entry.sendsLeft--;
				changes.add(entry.record);
				// Moves the entry to the end, so that all records get their turn.
				this.pendingRecords.remove(entry);
				if (entry.sendsLeft > 0) {
					this.pendingRecords.add(entry);
				}
			}
		}
		return changes;
	}

	/**
	 * Returns the hash over all members that are not dead.
	 * @return the hash over all members that are not dead
	 */
	long membershipHash() {
		return summary().hash;
	}

	/**
	 * Returns the hash of the members that are not dead, by data centre.
	 * @return the hash of the members that are not dead, by data centre
	 */
	Map<String, Long> dataCentreHashes() {
		return summary().dataCentreHashes;
	}

	/**
	 * Returns the members of the data centres for which another table differs.
	 * @param otherHashes the hashes of the other table
	 * @return the members of the data centres for which another table differs
	 */
	List<MemberRecord> findDifferingMembers(Map<String, Long> otherHashes) {
		List<MemberRecord> records = new ArrayList<>();
		for (MemberEntry entry : this.members.values()) {
			String dataCentre = entry.record.getDataCentre();
			if (!Objects.equals(summary().dataCentreHashes.get(dataCentre), otherHashes.get(dataCentre))) {
				records.add(entry.record);
			}
		}
		return records;
	}

	/**
	 * Returns whether a process is near: in the data centre, or in a small region.
	 * @param record the record
	 * @return true if so
	 */
	boolean isNeighbour(MemberRecord record) {
		return MemberSummary.isNeighbour(record, this.self, summary().region);
	}

	/**
	 * Returns whether a data centre is near.
	 * @param dataCentre the data centre
	 * @return true if so
	 */
	boolean isNeighbourDataCentre(String dataCentre) {
		return summary().neighbourDataCentres.contains(dataCentre);
	}

	/**
	 * Returns whether a record is of this region.
	 * @param record the record
	 * @return true if so
	 */
	boolean isInRegion(MemberRecord record) {
		return record.getRegion().equals(this.self.getRegion());
	}

	/**
	 * Returns the number of members near this process, itself included.
	 * @return the number of members near this process, itself included
	 */
	int neighbourCount() {
		return summary().neighbours.size();
	}

	/**
	 * Returns the number of members that are not dead.
	 * @return the number of members that are not dead
	 */
	int memberCount() {
		return summary().memberCount;
	}

	/**
	 * Returns the records of members that are believed to be alive, in order of id.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the records of members that are believed to be alive, in order of id
	 */
	List<MemberRecord> findAlive(long nowNanos) {
		List<MemberRecord> alive = new ArrayList<>();
		for (MemberEntry entry : this.members.values()) {
			if (entry.record == this.self || isReachable(entry, nowNanos)) {
				alive.add(entry.record);
			}
		}
		return alive;
	}

	private List<MemberRecord> findAliveNeighbours(long nowNanos) {
		List<MemberRecord> alive = new ArrayList<>();
		for (MemberEntry entry : summary().neighbours) {
			if (entry.record == this.self || isReachable(entry, nowNanos)) {
				alive.add(entry.record);
			}
		}
		return alive;
	}

	private boolean isReachable(MemberEntry entry, long nowNanos) {
		if (entry.isDead()) {
			return false;
		}
		if (summary().neighbourDataCentres.contains(entry.record.getDataCentre())) {
			return nowNanos - entry.heartbeatNanos < this.settings.suspectAfter().toNanos();
		}
		long lastContactNanos = this.dataCentreContactNanos.getOrDefault(entry.record.getDataCentre(), entry.storedNanos);
		return nowNanos - lastContactNanos < REMOTE_TIMEOUT_NANOS;
	}

	/**
	 * Returns whether this process aggregates for its data centre: lowest live id.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return true if so
	 */
	boolean isAggregator(long nowNanos) {
		for (MemberRecord record : findAliveNeighbours(nowNanos)) {
			boolean isHere = record.getDataCentre().equals(this.self.getDataCentre());
			if (isHere && record.getStatus() == MemberStatus.ALIVE) {
				return record == this.self;
			}
		}
		return false;
	}

	/**
	 * Returns random other members, at most the given number.
	 * @param from the members to choose from
	 * @param filter the condition on members
	 * @param count the heartbeat or the number wanted
	 * @return random other members, at most the given number
	 */
	List<MemberRecord> selectRandom(Collection<MemberRecord> from, Predicate<MemberRecord> filter, int count) {
		List<MemberRecord> candidates = new ArrayList<>();
		for (MemberRecord record : from) {
			if (record != this.self && filter.test(record)) {
				candidates.add(record);
			}
		}
		java.util.Collections.shuffle(candidates, this.random);
		return candidates.subList(0, Math.min(count, candidates.size()));
	}

}
