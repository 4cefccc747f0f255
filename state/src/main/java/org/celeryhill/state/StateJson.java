package org.celeryhill.state;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonAutoDetect.Visibility;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;

/**
 * JSON serialization of the records that this package stores. Ids are written as plain
 * strings. Unknown properties are ignored, so that a daemon of an older version can read
 * rows that a newer one wrote. Thread-safe.
 */
final class StateJson {

	/** Mapper of the records of this package. */
	private static final ObjectMapper MAPPER = createMapper();

	private StateJson() {
	}

	/**
	 * Returns the JSON text of a value.
	 * @param value the value, not null
	 * @return the text, never null
	 */
	static String write(Object value) {
		try {
			return MAPPER.writeValueAsString(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("cannot serialize " + value.getClass(), ex);
		}
	}

	/**
	 * Parses a value.
	 * @param <T> the type of the value
	 * @param text the JSON text, not null
	 * @param type the type of the value, not null
	 * @return the value, or empty if the text is malformed
	 */
	static <T> Optional<T> read(String text, Class<T> type) {
		try {
			return Optional.ofNullable(MAPPER.readValue(text, type));
		}
		catch (JsonProcessingException ex) {
			return Optional.empty();
		}
	}

	private static ObjectMapper createMapper() {
		SimpleModule idModule = new SimpleModule();
		addIdType(idModule, AttemptId.class, AttemptId::of);
		addIdType(idModule, HostId.class, HostId::of);
		addIdType(idModule, BackendServerId.class, BackendServerId::of);
		addIdType(idModule, ModelId.class, ModelId::of);
		idModule.addSerializer(FencingToken.class, new TokenSerializer());
		idModule.addDeserializer(FencingToken.class, new TokenDeserializer());
		ObjectMapper mapper = new ObjectMapper();
		mapper.registerModule(idModule);
		mapper.setVisibility(PropertyAccessor.GETTER, Visibility.NONE);
		mapper.setVisibility(PropertyAccessor.IS_GETTER, Visibility.NONE);
		mapper.setVisibility(PropertyAccessor.FIELD, Visibility.ANY);
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		return mapper;
	}

	private static <T> void addIdType(SimpleModule module, Class<T> type, Function<String, T> parse) {
		module.addSerializer(type, new TextSerializer<>());
		module.addDeserializer(type, new TextDeserializer<>(parse));
	}

	/** Writes an id as its text. */
	private static final class TextSerializer<T> extends JsonSerializer<T> {

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeString(value.toString());
		}

	}

	/** Reads an id from its text. */
	private static final class TextDeserializer<T> extends JsonDeserializer<T> {

		/** Creates an id from its text. */
		private final Function<String, T> parse;

		private TextDeserializer(Function<String, T> parse) {
			this.parse = parse;
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return this.parse.apply(parser.getValueAsString());
		}

	}

	/** Writes a fencing token as a number. */
	private static final class TokenSerializer extends JsonSerializer<FencingToken> {

		@Override
		public void serialize(FencingToken value, JsonGenerator generator, SerializerProvider provider)
				throws IOException {
			generator.writeNumber(value.value());
		}

	}

	/** Reads a fencing token from a number. */
	private static final class TokenDeserializer extends JsonDeserializer<FencingToken> {

		@Override
		public FencingToken deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return new FencingToken(parser.getLongValue());
		}

	}

}
