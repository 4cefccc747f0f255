package org.celeryhill.peer;

import java.net.InetSocketAddress;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.MemberStatus;

/**
 * Operations on records of members. Stateless and thread-safe.
 */
final class MemberRecords {

	private MemberRecords() {
	}

	/**
	 * Returns the member of a record.
	 * @param record the record
	 * @return the member of a record
	 */
	static Member toMember(MemberRecord record) {
		return new Member(HostId.of(record.getHost()), addressOf(record), DataCentre.of(record.getDataCentre()),
				Region.of(record.getRegion()), Long.toString(record.getGeneration()),
				record.getStatus() != MemberStatus.ALIVE);
	}

	/**
	 * Returns where a member listens.
	 * @param record the record
	 * @return where a member listens
	 */
	static InetSocketAddress addressOf(MemberRecord record) {
		return new InetSocketAddress(record.getAddress(), record.getPort());
	}

	static MemberRecord withStatus(MemberRecord record, MemberStatus status) {
		MemberRecord copy = new MemberRecord(record);
		copy.setStatus(status);
		return copy;
	}

	static boolean isNewer(MemberRecord record, MemberRecord old) {
		if (record.getGeneration() != old.getGeneration()) {
			return record.getGeneration() > old.getGeneration();
		}
		return record.getStatus().getValue() > old.getStatus().getValue();
	}

}
