package org.celeryhill.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import org.celeryhill.base.AttemptId;
import org.celeryhill.port.GenerateEvent;

/**
 * Encodes and decodes {@link GenerateEvent} as server-sent events: a line {@code event:}
 * with the type and a line {@code data:} with a JSON object. Thread-safe.
 */
public final class GenerateEventCodec {

	/** Content type of an event stream. */
	public static final String CONTENT_TYPE = "text/event-stream";

	/**
	 * Maximum size of an event that is read, in bytes. It limits the memory that a stream
	 * can use.
	 */
	public static final int MAX_EVENT_BYTES = 256 * 1024;

	private static final String TOKEN = "token";

	/** Type of the end marker, the last event of a complete stream. */
	private static final String END = "end";

	private static final String FAILED = "failed";

	private GenerateEventCodec() {
	}

	/**
	 * Encodes an event, including the empty line that terminates it.
	 * @param event the event, not null
	 * @return the bytes in UTF-8, never null
	 */
	public static byte[] encode(GenerateEvent event) {
		ByteArrayOutputStream out = new ByteArrayOutputStream(128);
		try {
			out.write(("event:" + typeOf(event) + "\ndata:").getBytes(StandardCharsets.US_ASCII));
			try (JsonGenerator json = Json.mapper().getFactory().createGenerator(out)) {
				json.disable(JsonGenerator.Feature.AUTO_CLOSE_TARGET);
				json.writeStartObject();
				json.writeStringField("attempt", event.attempt().value());
				writeFields(json, event);
				json.writeEndObject();
			}
			out.write('\n');
			out.write('\n');
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

	private static String typeOf(GenerateEvent event) {
		if (event instanceof GenerateEvent.Token) {
			return TOKEN;
		}
		return (event instanceof GenerateEvent.End) ? END : FAILED;
	}

	private static void writeFields(JsonGenerator json, GenerateEvent event) throws IOException {
		if (event instanceof GenerateEvent.Token token) {
			json.writeNumberField("offset", token.offset());
			json.writeStringField("text", token.text());
		}
		else if (event instanceof GenerateEvent.End end) {
			json.writeNumberField("tokens", end.tokens());
			json.writeStringField("finishReason", end.finishReason());
		}
		else if (event instanceof GenerateEvent.Failed failed) {
			json.writeStringField("failure", failed.failure().name());
			json.writeStringField("detail", failed.detail());
		}
	}

	/**
	 * Decodes an event.
	 * @param type the value of the line {@code event:}, not null
	 * @param data an array that contains the value of the line {@code data:}, not null
	 * @param offset the index of the first byte of the value
	 * @param length the number of bytes of the value
	 * @return the event, or empty if the type is unknown
	 * @throws IOException if the data is malformed or a required field is missing
	 */
	public static Optional<GenerateEvent> decode(String type, byte[] data, int offset, int length) throws IOException {
		if (!TOKEN.equals(type) && !END.equals(type) && !FAILED.equals(type)) {
			return Optional.empty();
		}
		EventFields fields = new EventFields();
		try (JsonParser parser = Json.mapper().getFactory().createParser(data, offset, length)) {
			fields.read(parser);
		}
		return Optional.of(fields.toEvent(type));
	}

	/** Fields of the JSON object of an event; null or negative if missing. */
	private static final class EventFields {

		private String attempt;

		/** Text of a token, finish reason of an end marker, or name of a failure. */
		private String textOrReason;

		private String detail = "";

		/** Offset of a token, or number of tokens of an end marker. */
		private int number = -1;

		void read(JsonParser parser) throws IOException {
			if (parser.nextToken() != JsonToken.START_OBJECT) {
				throw new IOException("event is not a JSON object");
			}
			for (String name = parser.nextFieldName(); name != null; name = parser.nextFieldName()) {
				parser.nextToken();
				readField(parser, name);
			}
			if (parser.currentToken() != JsonToken.END_OBJECT) {
				throw new IOException("event is truncated");
			}
		}

		private void readField(JsonParser parser, String name) throws IOException {
			if (name.equals("attempt")) {
				this.attempt = parser.getText();
			}
			else if (name.equals("text") || name.equals("finishReason") || name.equals("failure")) {
				this.textOrReason = parser.getText();
			}
			else if (name.equals("detail")) {
				this.detail = parser.getText();
			}
			else if (name.equals("offset") || name.equals("tokens")) {
				this.number = parser.getIntValue();
			}
			else {
				parser.skipChildren();
			}
		}

		GenerateEvent toEvent(String type) throws IOException {
			if (this.attempt == null || this.attempt.isBlank() || this.textOrReason == null) {
				throw new IOException("event lacks a required field");
			}
			AttemptId id = AttemptId.of(this.attempt);
			if (type.equals(FAILED)) {
				return new GenerateEvent.Failed(id, toFailure(this.textOrReason), this.detail);
			}
			if (this.number < 0) {
				throw new IOException("event lacks an offset or token count");
			}
			return type.equals(TOKEN) ? new GenerateEvent.Token(id, this.number, this.textOrReason)
					: new GenerateEvent.End(id, this.number, this.textOrReason);
		}

		private static GenerateEvent.Failure toFailure(String name) {
			for (GenerateEvent.Failure failure : GenerateEvent.Failure.values()) {
				if (failure.name().equals(name)) {
					return failure;
				}
			}
			return GenerateEvent.Failure.BROKEN;
		}

	}

}
