package org.celeryhill.edge;

import java.util.Optional;

import org.celeryhill.state.LeaseRecord;

/**
 * Keeps the text of the latest lease record, which each heartbeat carries and which
 * changes less often. Must be used on the event loop.
 */
final class LeaseRecordCache {

	private LeaseRecord writtenRecord;

	private String writtenText;

	private String readText;

	private Optional<LeaseRecord> readRecord = Optional.empty();

	/**
	 * Returns the text of a record.
	 * @param lease the record, not null
	 * @return the text, never null
	 */
	String toText(LeaseRecord lease) {
		if (lease != this.writtenRecord) {
			this.writtenText = lease.toText();
			this.writtenRecord = lease;
		}
		return this.writtenText;
	}

	/**
	 * Parses the text of a record.
	 * @param text the text, not null
	 * @return the record, empty if the text is malformed
	 */
	Optional<LeaseRecord> parse(String text) {
		if (!text.equals(this.readText)) {
			this.readRecord = LeaseRecord.parse(text);
			this.readText = text;
		}
		return this.readRecord;
	}

}
