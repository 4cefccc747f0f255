package org.celeryhill.base;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

import org.apache.commons.codec.digest.DigestUtils;

/**
 * A configuration revision as the operator wrote it: the text of each file and the number
 * under which the revision was accepted. Immutable and thread-safe.
 *
 * @param number the number, 0 for a proposal that has none yet
 * @param files the text by file name, not null, in name order
 */
public record RevisionDocument(long number, Map<String, String> files) {

	/**
	 * Creates a document and copies the files.
	 * @throws IllegalArgumentException if the number is negative
	 */
	public RevisionDocument {
		Objects.requireNonNull(files, "files");
		if (number < 0) {
			throw new IllegalArgumentException("revision number must not be negative: " + number);
		}
		files = Collections.unmodifiableMap(new TreeMap<>(files));
	}

	/**
	 * Returns a copy with another number.
	 * @param newNumber the number, zero or more
	 * @return the copy, never null
	 */
	public RevisionDocument withNumber(long newNumber) {
		return new RevisionDocument(newNumber, this.files);
	}

	/**
	 * Returns a digest of the names and texts of the files, without the revision number.
	 * @return the SHA-256 digest in lower-case hexadecimal, never null
	 */
	public String digest() {
		java.security.MessageDigest digest = DigestUtils.getSha256Digest();
		this.files.forEach((name, text) -> {
			byte[] content = text.getBytes(StandardCharsets.UTF_8);
			digest.update((name.length() + ":" + name + ":" + content.length + ":").getBytes(StandardCharsets.UTF_8));
			digest.update(content);
		});
		return org.apache.commons.codec.binary.Hex.encodeHexString(digest.digest());
	}

}
