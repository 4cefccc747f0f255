package org.celeryhill.soak;

import java.util.zip.CRC32;

/**
 * Length and checksum of a body, in place of its bytes. Immutable.
 *
 * @param length the number of bytes
 * @param checksum the CRC-32 of the bytes
 */
record BodyDigest(int length, long checksum) {

	static BodyDigest of(byte[] body) {
		CRC32 crc = new CRC32();
		crc.update(body);
		return new BodyDigest(body.length, crc.getValue());
	}

}
