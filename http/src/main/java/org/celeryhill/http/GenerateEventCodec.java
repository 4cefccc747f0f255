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
 * Form of the events of a stream as server-sent events: a line {@code event:} with the
 * type and a line {@code data:} with a JSON object. Thread-safe.
 */
public final class GenerateEventCodec {

	/** Content type of a stream. */
	public static final String CONTENT_TYPE = "text/event-stream";

	/** Largest event that is read, in bytes. */
	public static final int MAX_EVENT_BYTES = 256 * 1024;

	/** Type of a token event. */
	private static final String TOKEN = "token";

	/** Type of an end marker. */
	private static final String END = "end";

	/** Type of a failure. */
	private static final String FAILED = "failed";

	private GenerateEventCodec() {
	}

	/**
	 * Returns the bytes of an event, with the empty line that ends it.
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
	 * Reads an event.
	 * @param type the type from the line {@code event:}, not null
	 * @param data the bytes of the line {@code data:}, not null
	 * @param offset the index of the first byte
	 * @param length the number of bytes
	 * @return the event, or empty if the type is not known
	 * @throws IOException if the data are malformed or a field is missing
	 */
	public static Optional<GenerateEvent> decode(String type, byte[] data, int offset, int length) throws IOException {
		if (!TOKEN.equals(type) && !END.equals(type) && !FAILED.equals(type)) {
			return Optional.empty();
		}
		Fields fields = new Fields();
		try (JsonParser parser = Json.mapper().getFactory().createParser(data, offset, length)) {
			fields.read(parser);
		}
		return Optional.of(fields.toEvent(type));
	}

	/** Fields of the JSON object of an event. */
	private static final class Fields {

		/** Attempt, null if missing. */
		private String attempt;

		/** Text, finish reason or failure, null if missing. */
		private String text;

		/** Detail of a failure. */
		private String detail = "";

		/** Offset or number of tokens, negative if missing. */
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
				throw new IOException("event is cut off");
			}
		}

		private void readField(JsonParser parser, String name) throws IOException {
			if (name.equals("attempt")) {
				this.attempt = parser.getText();
			}
			else if (name.equals("text") || name.equals("finishReason") || name.equals("failure")) {
				this.text = parser.getText();
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
			if (this.attempt == null || this.attempt.isBlank() || this.text == null) {
				throw new IOException("event lacks a field");
			}
			AttemptId id = AttemptId.of(this.attempt);
			if (type.equals(FAILED)) {
				return new GenerateEvent.Failed(id, toFailure(this.text), this.detail);
			}
			if (this.number < 0) {
				throw new IOException("event lacks an offset");
			}
			return type.equals(TOKEN) ? new GenerateEvent.Token(id, this.number, this.text)
					: new GenerateEvent.End(id, this.number, this.text);
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
