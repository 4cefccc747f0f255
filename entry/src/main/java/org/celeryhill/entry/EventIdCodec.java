package org.celeryhill.entry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.RequestId;
import org.celeryhill.state.ServingSystem;

/**
 * Signs and verifies event ids. The text is base64url of the fields followed by an
 * HMAC-SHA-256 cut to 16 bytes, so that it has no line ends and can be sent in a header.
 * Ids are signed with the first key and accepted with any, so that the key can be changed
 * without breaking streams. Thread-safe.
 */
final class EventIdCodec {

	/** Shortest key in bytes. */
	static final int MIN_KEY_BYTES = 16;

	/** Longest text that is decoded, in characters. */
	private static final int MAX_LENGTH = 1024;

	/** First byte of the fields, changed with their layout. */
	private static final int VERSION = 1;

	/** Length of the signature in bytes. */
	private static final int MAC_BYTES = 16;

	/**
	 * Position of the offset among the fields; all fields before it have fixed lengths.
	 */
	private static final int OFFSET_AT = 7;

	/** Position of the text hash among the fields. */
	private static final int TEXT_HASH_AT = OFFSET_AT + Integer.BYTES + Long.BYTES;

	/** Writes the text. */
	private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

	/** Name of the signature algorithm. */
	private static final String ALGORITHM = "HmacSHA256";

	/** Keys, the first one signs. */
	private final List<byte[]> keys;

	EventIdCodec(List<byte[]> keys) {
		if (keys.isEmpty() || keys.stream().anyMatch((key) -> key.length < MIN_KEY_BYTES)) {
			throw new IllegalArgumentException("event id keys must have at least " + MIN_KEY_BYTES + " bytes");
		}
		this.keys = List.copyOf(keys);
	}

	String encode(EventId id) {
		return writer(id).encode(id);
	}

	/**
	 * Returns a writer for the positions of one attempt. It keeps the fields that do not
	 * change and the keyed signature, which would otherwise be the largest cost of a
	 * token.
	 * @param id any position of the attempt, not null
	 * @return the writer, never null
	 */
	Writer writer(EventId id) {
		return new Writer(id, toFields(id), newMac(this.keys.get(0)));
	}

	private static byte[] toFields(EventId id) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream(192);
		try (DataOutputStream out = new DataOutputStream(bytes)) {
			out.writeByte(VERSION);
			out.writeByte(id.shape().ordinal());
			out.writeByte(id.system().ordinal());
			out.writeInt(id.firstOffset());
			out.writeInt(id.offset());
			out.writeLong(id.seed());
			out.writeLong(id.textHash());
			out.writeLong(id.createdSeconds());
			out.write(id.digest());
			out.writeUTF(id.request().value());
			out.writeUTF(id.organisation().value());
			out.writeUTF(id.model().value());
			out.writeUTF(id.engine().value());
			out.writeUTF(id.attempt().value());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes an event id.
	 * @param text the text, not null
	 * @return the event id, or empty if the text is malformed or not signed with a known
	 * key
	 */
	Optional<EventId> decode(String text) {
		if (text.length() > MAX_LENGTH) {
			return Optional.empty();
		}
		byte[] bytes;
		try {
			bytes = Base64.getUrlDecoder().decode(text);
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
		if (bytes.length <= MAC_BYTES) {
			return Optional.empty();
		}
		byte[] fields = Arrays.copyOf(bytes, bytes.length - MAC_BYTES);
		byte[] mac = Arrays.copyOfRange(bytes, fields.length, bytes.length);
		boolean signed = this.keys.stream().anyMatch((key) -> MessageDigest.isEqual(mac, sign(key, fields)));
		return signed ? decodeFields(fields) : Optional.empty();
	}

	private static Optional<EventId> decodeFields(byte[] fields) {
		try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(fields))) {
			if (in.readByte() != VERSION) {
				return Optional.empty();
			}
			ApiShape shape = ApiShape.values()[in.readByte()];
			ServingSystem system = ServingSystem.values()[in.readByte()];
			int firstOffset = in.readInt();
			int offset = in.readInt();
			long seed = in.readLong();
			long textHash = in.readLong();
			long created = in.readLong();
			byte[] digest = in.readNBytes(EventId.DIGEST_BYTES);
			RequestId request = RequestId.of(in.readUTF());
			OrganisationId organisation = OrganisationId.of(in.readUTF());
			ModelId model = ModelId.of(in.readUTF());
			BackendServerId engine = BackendServerId.of(in.readUTF());
			AttemptId attempt = AttemptId.of(in.readUTF());
			return Optional.of(new EventId(request, organisation, model, shape, system, engine, attempt, firstOffset,
					offset, seed, textHash, created, digest));
		}
		catch (IOException | RuntimeException ex) {
			return Optional.empty();
		}
	}

	private static byte[] sign(byte[] key, byte[] fields) {
		return Arrays.copyOf(newMac(key).doFinal(fields), MAC_BYTES);
	}

	private static Mac newMac(byte[] key) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(key, ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java platform has " + ALGORITHM, ex);
		}
	}

	/** Encodes the positions of one attempt. Not thread-safe. */
	static final class Writer {

		/** Position whose unchanging fields are kept. */
		private final EventId first;

		/** Fields, followed by room for the signature. */
		private final byte[] bytes;

		/** The same bytes, for numbers. */
		private final ByteBuffer numbers;

		/** Length of the fields. */
		private final int length;

		/** Keyed signature. */
		private final Mac mac;

		private Writer(EventId first, byte[] fields, Mac mac) {
			this.first = first;
			this.length = fields.length;
			this.bytes = Arrays.copyOf(fields, fields.length + MAC_BYTES);
			this.numbers = ByteBuffer.wrap(this.bytes);
			this.mac = mac;
		}

		/**
		 * Returns whether a position belongs to the attempt of this writer.
		 * @param id the position, not null
		 * @return true if only offset and text hash differ
		 */
		boolean isFor(EventId id) {
			return id.attempt().equals(this.first.attempt()) && id.engine().equals(this.first.engine())
					&& id.firstOffset() == this.first.firstOffset();
		}

		/**
		 * Encodes a position.
		 * @param id the position, one that {@link #isFor} accepts, not null
		 * @return the text, never null
		 */
		String encode(EventId id) {
			this.numbers.putInt(OFFSET_AT, id.offset());
			this.numbers.putLong(TEXT_HASH_AT, id.textHash());
			this.mac.update(this.bytes, 0, this.length);
			System.arraycopy(this.mac.doFinal(), 0, this.bytes, this.length, MAC_BYTES);
			return ENCODER.encodeToString(this.bytes);
		}

	}

}
