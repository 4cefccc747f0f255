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
 * Membership table of this process. Heartbeats are exchanged only with neighbours: the
 * processes of the same data centre, and those of the same region as long as the region
 * is small. Processes elsewhere are known through the records that their own data centre
 * sends; a remote data centre as a whole is considered unreachable if nothing has been
 * received from it for a long time. Not thread-safe.
 */
final class MembershipTable {

	/**
	 * Time after which a silent remote data centre is considered unreachable. Its
	 * aggregate is sent every 12 s, and each one reaches about seven in ten processes.
	 */
	private static final long REMOTE_TIMEOUT_NANOS = 120_000_000_000L;

	/**
	 * Time for which records of dead members are kept, so that older records do not
	 * revive them.
	 */
	private static final long TOMBSTONE_NANOS = 7_200_000_000_000L;

	/** Maximum number of heartbeats in a digest. */
	private static final int MAX_DIGEST_HEARTBEATS = 11;

	/** Maximum age of a heartbeat that is forwarded. */
	private static final long MAX_FORWARDED_AGE_NANOS = 4_000_000_000L;

	/**
	 * Number of times that a changed record is forwarded. The synchronisation of
	 * membership tables repairs the cases in which a record does not reach all processes.
	 */
	private static final int RECORD_SENDS = 4;

	/** Maximum number of changed records in a digest. */
	private static final int MAX_DIGEST_RECORDS = 6;

	private final PeerSettings settings;

	/** Members by host id, including this process. */
	private final TreeMap<String, MemberEntry> members = new TreeMap<>();

	/** Monotonic time of the latest contact with each data centre, in nanoseconds. */
	private final Map<String, Long> dataCentreContactNanos = new HashMap<>();

	/** Source of random choices. */
	private final Random random;

	private MemberRecord self;

	/** Monotonic time of the last gossip round, in nanoseconds. */
	private long lastRoundNanos;

	/** Summary of the members; null after a change. */
	private MemberSummary summary;

	/** Members whose records are still to be forwarded, in sending order. */
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
	 * @return the record
	 */
	MemberRecord self() {
		return this.self;
	}

	/**
	 * Starts a gossip round: declares silent neighbours dead and removes old records of
	 * dead members.
	 * @param heartbeatCount the heartbeat count of this process
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

	// After a pause of this process every heartbeat looks old although the other
	// processes are alive, so the pause is added to all times of contact.
	private void compensateForPause(long nowNanos) {
		long pause = nowNanos - this.lastRoundNanos - 2 * this.settings.roundPeriod().toNanos();
		this.lastRoundNanos = nowNanos;
		if (pause <= 0) {
			return;
		}
		this.members.values().forEach((entry) -> entry.heartbeatNanos += pause);
		this.dataCentreContactNanos.replaceAll((dataCentre, nanos) -> nanos + pause);
	}

	// Only the larger side of a partition may declare the others dead.
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
		// With two processes there is no larger side; a false record is refuted later.
		if (freshCount * 2 > totalCount || totalCount == 2) {
			silent.forEach(
					(entry) -> merge(MemberRecords.withStatus(entry.record, MemberStatus.DEAD), "", true, nowNanos));
		}
	}

	/**
	 * Merges a record into the table. A higher generation overrides a lower one; within a
	 * generation a later status overrides an earlier one. A false record of this process
	 * is refuted with a higher generation.
	 * @param record the record
	 * @param sender the host id of the process that sent it, empty if unknown
	 * @param isForwarded whether to forward the record; false for records from a
	 * synchronisation, which every process does for itself
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
	 * Marks this process as leaving.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void markLeaving(long nowNanos) {
		this.self = MemberRecords.withStatus(this.self, MemberStatus.LEAVING);
		putRecord(this.self, "", false, nowNanos);
	}

	/**
	 * Records a heartbeat that was received from the process itself.
	 * @param sender the record of the process
	 * @param heartbeatCount the heartbeat count of the process
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
	 * Records that a data centre is reachable.
	 * @param dataCentre the data centre
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void recordContact(String dataCentre, long nowNanos) {
		this.dataCentreContactNanos.merge(dataCentre, nowNanos, Math::max);
	}

	/**
	 * Merges heartbeats that were forwarded by another process.
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
	 * Returns recent heartbeats of a random selection of neighbours.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return at most as many heartbeats as fit in a digest
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
	 * Returns changed records to forward and counts each of them as sent once.
	 * @param receiver the host id of the receiver, or null if it is unknown; records that
	 * came from the receiver are omitted
	 * @return the records, starting with those sent longest ago
	 */
	List<MemberRecord> selectChangedRecords(String receiver) {
		List<MemberRecord> changes = new ArrayList<>();
		for (MemberEntry entry : new ArrayList<>(this.pendingRecords)) {
			if (changes.size() < MAX_DIGEST_RECORDS && !entry.source.equals(receiver)) {
				entry.sendsLeft--;
				changes.add(entry.record);
				// Moves the entry to the end, so that all pending records are sent in
				// turn.
				this.pendingRecords.remove(entry);
				if (entry.sendsLeft > 0) {
					this.pendingRecords.add(entry);
				}
			}
		}
		return changes;
	}

	/**
	 * Returns the hash of all members that are not dead.
	 * @return the hash
	 */
	long membershipHash() {
		return summary().hash;
	}

	/**
	 * Returns the hashes of the members that are not dead, by data centre.
	 * @return the hashes by data centre
	 */
	Map<String, Long> dataCentreHashes() {
		return summary().dataCentreHashes;
	}

	/**
	 * Returns the members of the data centres whose hashes differ from those of another
	 * table.
	 * @param otherHashes the hashes of the other table by data centre
	 * @return the records of the members
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
	 * Returns whether a process is a neighbour: in the same data centre, or in the same
	 * region if that is small.
	 * @param record the record of the process
	 * @return true if it is a neighbour
	 */
	boolean isNeighbour(MemberRecord record) {
		return MemberSummary.isNeighbour(record, this.self, summary().region);
	}

	/**
	 * Returns whether a data centre has neighbours of this process.
	 * @param dataCentre the data centre
	 * @return true if it has neighbours or is the data centre of this process
	 */
	boolean isNeighbourDataCentre(String dataCentre) {
		return summary().neighbourDataCentres.contains(dataCentre);
	}

	/**
	 * Returns whether a process is in the region of this process.
	 * @param record the record of the process
	 * @return true if the regions are the same
	 */
	boolean isInRegion(MemberRecord record) {
		return record.getRegion().equals(this.self.getRegion());
	}

	/**
	 * Returns the number of neighbours, including this process.
	 * @return the number of neighbours
	 */
	int neighbourCount() {
		return summary().neighbours.size();
	}

	/**
	 * Returns the number of members that are not dead, including this process.
	 * @return the number of members
	 */
	int memberCount() {
		return summary().memberCount;
	}

	/**
	 * Returns the records of the members that are considered alive, including this
	 * process.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return the records ordered by host id
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
		long lastContactNanos = this.dataCentreContactNanos.getOrDefault(entry.record.getDataCentre(),
				entry.storedNanos);
		return nowNanos - lastContactNanos < REMOTE_TIMEOUT_NANOS;
	}

	/**
	 * Returns whether this process is the aggregator of its data centre, which is the
	 * live member with the lowest host id.
	 * @param nowNanos the monotonic time in nanoseconds
	 * @return true if this process is the aggregator
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
	 * Returns a random selection of members, without this process.
	 * @param from the members to choose from
	 * @param filter the condition that chosen members meet
	 * @param count the maximum number of members
	 * @return the selected members
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
