package org.celeryhill.peer;

import java.net.InetSocketAddress;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;
import org.celeryhill.peerthrift.MemberRecord;
import org.celeryhill.peerthrift.MemberStatus;

/**
 * Static operations on member records. Stateless and thread-safe.
 */
final class MemberRecords {

	private MemberRecords() {
	}

	/**
	 * Converts a record to a member.
	 * @param record the record
	 * @return the member that the record describes
	 */
	static Member toMember(MemberRecord record) {
		return new Member(HostId.of(record.getHost()), addressOf(record), DataCentre.of(record.getDataCentre()),
				Region.of(record.getRegion()), Long.toString(record.getGeneration()),
				record.getStatus() != MemberStatus.ALIVE);
	}

	/**
	 * Returns the address that a member listens on.
	 * @param record the record of the member
	 * @return the address of the peer protocol
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
