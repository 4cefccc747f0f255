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
 * Encodes and signs event ids, and decodes and verifies them. The text is the base64url
 * encoding of the fields followed by an HMAC-SHA-256 truncated to 16 bytes; it has no
 * line breaks and can be sent in a header. Ids are signed with the first key and accepted
 * with any key, so that a key can be replaced without breaking streams. Thread-safe.
 */
final class EventIdCodec {

	/** Minimum length of a key, in bytes. */
	static final int MIN_KEY_BYTES = 16;

	/** Maximum length of an encoded event id, in characters. */
	private static final int MAX_TEXT_LENGTH = 1024;

	/** First byte of the fields: version of their layout. */
	private static final int VERSION = 1;

	/** Length of the truncated signature, in bytes. */
	private static final int MAC_BYTES = 16;

	/**
	 * Byte index of the offset within the fields; all fields before it have fixed
	 * lengths.
	 */
	private static final int OFFSET_INDEX = 7;

	/** Byte index of the text hash within the fields. */
	private static final int TEXT_HASH_INDEX = OFFSET_INDEX + Integer.BYTES + Long.BYTES;

	/** Encodes fields and signature. */
	private static final Base64.Encoder ENCODER = Base64.getUrlEncoder().withoutPadding();

	/** JCA name of the signature algorithm. */
	private static final String MAC_ALGORITHM = "HmacSHA256";

	/** Accepted keys; the first one signs. */
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
	 * Returns a writer for the positions of one attempt. It reuses the encoded fields
	 * that do not change and the initialised signature algorithm; creating them for each
	 * token would be the largest cost of a token.
	 * @param id any position of the attempt, not null
	 * @return the writer, never null
	 */
	PositionWriter writer(EventId id) {
		return new PositionWriter(id, toFields(id), newMac(this.keys.get(0)));
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
	 * @param text the encoded event id, not null
	 * @return the event id, or empty if the text is malformed or not signed with a known
	 * key
	 */
	Optional<EventId> decode(String text) {
		if (text.length() > MAX_TEXT_LENGTH) {
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
		boolean isSigned = this.keys.stream().anyMatch((key) -> MessageDigest.isEqual(mac, sign(key, fields)));
		return isSigned ? decodeFields(fields) : Optional.empty();
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
			Mac mac = Mac.getInstance(MAC_ALGORITHM);
			mac.init(new SecretKeySpec(key, MAC_ALGORITHM));
			return mac;
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("Java runtime lacks the signature algorithm " + MAC_ALGORITHM, ex);
		}
	}

	/** Encodes the positions of one attempt. Not thread-safe. */
	static final class PositionWriter {

		/** Position whose constant fields are reused. */
		private final EventId template;

		/** Encoded fields, followed by the signature. */
		private final byte[] bytes;

		/** View of the same bytes for writing numbers. */
		private final ByteBuffer buffer;

		/** Length of the encoded fields. */
		private final int fieldsLength;

		/** Signature algorithm, initialised with the signing key. */
		private final Mac mac;

		private PositionWriter(EventId template, byte[] fields, Mac mac) {
			this.template = template;
			this.fieldsLength = fields.length;
			this.bytes = Arrays.copyOf(fields, fields.length + MAC_BYTES);
			this.buffer = ByteBuffer.wrap(this.bytes);
			this.mac = mac;
		}

		/**
		 * Returns whether a position belongs to the attempt of this writer.
		 * @param id the position to encode, not null
		 * @return true if only offset and text hash differ
		 */
		boolean canEncode(EventId id) {
			return id.attempt().equals(this.template.attempt()) && id.engine().equals(this.template.engine())
					&& id.firstOffset() == this.template.firstOffset();
		}

		/**
		 * Encodes a position.
		 * @param id a position for which {@link #canEncode} returns true, not null
		 * @return the text, never null
		 */
		String encode(EventId id) {
			this.buffer.putInt(OFFSET_INDEX, id.offset());
			this.buffer.putLong(TEXT_HASH_INDEX, id.textHash());
			this.mac.update(this.bytes, 0, this.fieldsLength);
			System.arraycopy(this.mac.doFinal(), 0, this.bytes, this.fieldsLength, MAC_BYTES);
			return ENCODER.encodeToString(this.bytes);
		}

	}

}
