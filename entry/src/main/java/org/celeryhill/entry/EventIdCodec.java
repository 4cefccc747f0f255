package org.celeryhill.entry;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.Base64;
import java.util.List;
import java.util.Optional;

import org.apache.commons.codec.digest.HmacAlgorithms;
import org.apache.commons.codec.digest.HmacUtils;
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

	/** Keys, the first one signs. */
	private final List<byte[]> keys;

	EventIdCodec(List<byte[]> keys) {
		if (keys.isEmpty() || keys.stream().anyMatch((key) -> key.length < MIN_KEY_BYTES)) {
			throw new IllegalArgumentException("event id keys must have at least " + MIN_KEY_BYTES + " bytes");
		}
		this.keys = List.copyOf(keys);
	}

	String encode(EventId id) {
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
			out.write(sign(this.keys.get(0), bytes.toByteArray()));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Base64.getUrlEncoder().withoutPadding().encodeToString(bytes.toByteArray());
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
		return Arrays.copyOf(new HmacUtils(HmacAlgorithms.HMAC_SHA_256, key).hmac(fields), MAC_BYTES);
	}

}
