package org.celeryhill.peer;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.celeryhill.peerthrift.MemberRecord;

/**
 * Hashes, counts and neighbours, derived from all members that are not dead. Not
 * thread-safe.
 */
final class MemberSummary {

	/** Maximum number of processes in a region for all of them to be neighbours. */
	private static final int MAX_NEIGHBOUR_REGION_SIZE = 24;

	/** Hashes of the members by data centre. */
	final Map<String, Long> dataCentreHashes = new HashMap<>();

	/** Neighbours, including this process, ordered by host id. */
	final List<MemberEntry> neighbours = new ArrayList<>();

	/** Data centres of the neighbours, including that of this process. */
	final Set<String> neighbourDataCentres = new HashSet<>();

	/** Hash of all members. */
	long hash;

	/** Number of members. */
	int memberCount;

	/** Number of members in the region of this process. */
	int region;

	MemberSummary(Collection<MemberEntry> members, MemberRecord self) {
		for (MemberEntry entry : members) {
			if (!entry.isDead()) {
				long one = hash(entry.record);
				this.dataCentreHashes.merge(entry.record.getDataCentre(), one, Long::sum);
				this.hash += one;
				this.memberCount++;
				this.region += entry.record.getRegion().equals(self.getRegion()) ? 1 : 0;
			}
		}
		this.neighbourDataCentres.add(self.getDataCentre());
		for (MemberEntry entry : members) {
			if (!entry.isDead() && isNeighbour(entry.record, self, this.region)) {
				this.neighbours.add(entry);
				this.neighbourDataCentres.add(entry.record.getDataCentre());
			}
		}
	}

	private static long hash(MemberRecord record) {
		long hash = 31L * record.getHost().hashCode() + record.getGeneration() * 0x9E3779B97F4A7C15L;
		return (hash ^ (hash >>> 29)) * 0xBF58476D1CE4E5B9L + record.getStatus().getValue();
	}

	static boolean isNeighbour(MemberRecord record, MemberRecord self, int region) {
		if (record.getDataCentre().equals(self.getDataCentre())) {
			return true;
		}
		return region <= MAX_NEIGHBOUR_REGION_SIZE && record.getRegion().equals(self.getRegion());
	}

}
