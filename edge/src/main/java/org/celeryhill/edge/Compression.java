package org.celeryhill.edge;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Base64;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

/**
 * Compresses bytes to text for the JSON messages between hosts.
 */
final class Compression {

	/** Size up to which a text is expanded. */
	private static final int MAX_EXPANDED_BYTES = 16 << 20;

	private Compression() {
	}

	static String compress(byte[] content) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (DeflaterOutputStream deflater = new DeflaterOutputStream(bytes)) {
			deflater.write(content);
		}
		catch (IOException ex) {
			throw new UncheckedIOException("failed to compress in memory", ex);
		}
		return Base64.getEncoder().encodeToString(bytes.toByteArray());
	}

	/**
	 * Expands a text.
	 * @param text the result of {@link #compress}, not null
	 * @return the content, never null
	 * @throws IllegalArgumentException if the text is malformed or its content too long
	 */
	static byte[] expand(String text) {
		byte[] compressed = Base64.getDecoder().decode(text);
		try (InflaterInputStream inflater = new InflaterInputStream(new ByteArrayInputStream(compressed))) {
			byte[] content = inflater.readNBytes(MAX_EXPANDED_BYTES + 1);
			if (content.length > MAX_EXPANDED_BYTES) {
				throw new IllegalArgumentException("content is longer than " + MAX_EXPANDED_BYTES + " bytes");
			}
			return content;
		}
		catch (IOException ex) {
			throw new IllegalArgumentException("malformed compressed text: " + ex.getMessage(), ex);
		}
	}

}
