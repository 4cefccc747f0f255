package org.celeryhill.http;

import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonDeserializer;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.Region;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;

/**
 * JSON serialisation of the port messages. Identifiers are written as strings, fencing
 * tokens as numbers and priority classes as their labels. Unknown fields are ignored when
 * reading. Thread-safe.
 */
public final class Json {

	/** Mapper with the serialisers of the identifier types. */
	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.addModule(createModule())
		.build();

	private Json() {
	}

	/**
	 * Returns the shared mapper.
	 * @return the mapper, never null; callers must not reconfigure it
	 */
	public static ObjectMapper mapper() {
		return MAPPER;
	}

	/**
	 * Serialises a value to UTF-8 JSON.
	 * @param value the value, may be null
	 * @return the bytes, never null
	 * @throws IllegalArgumentException if the value cannot be serialised
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot serialise to JSON: " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Deserialises a value from UTF-8 JSON.
	 * @param <T> the type of the value
	 * @param bytes the JSON text, not null
	 * @param type the type of the value, not null
	 * @return the value, or empty if the bytes are not valid JSON of that type
	 */
	public static <T> Optional<T> read(byte[] bytes, Class<T> type) {
		try {
			return Optional.ofNullable(MAPPER.readValue(bytes, type));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Deserialises a list from UTF-8 JSON.
	 * @param <T> the type of the items
	 * @param bytes the JSON text, not null
	 * @param type the type of the items, not null
	 * @return the items, or empty if the bytes are not a valid JSON array of that type
	 */
	public static <T> Optional<List<T>> readList(byte[] bytes, Class<T> type) {
		try {
			return Optional.of(MAPPER.readerForListOf(type).readValue(bytes));
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

	/**
	 * Returns the error code of an error document of the form {@code {"error":{"code"}}}.
	 * @param bytes the body of a response, not null
	 * @return the code, an empty string if the body is not an error document; never null
	 */
	public static String readErrorCode(byte[] bytes) {
		return read(bytes, JsonNode.class).map((node) -> node.path("error").path("code").asText("")).orElse("");
	}

	private static SimpleModule createModule() {
		SimpleModule module = new SimpleModule("celeryhill");
		addScalarType(module, AttemptId.class, AttemptId::value, AttemptId::of);
		addScalarType(module, BackendServerId.class, BackendServerId::value, BackendServerId::of);
		addScalarType(module, DataCentre.class, DataCentre::value, DataCentre::of);
		addScalarType(module, HostId.class, HostId::value, HostId::of);
		addScalarType(module, ModelId.class, ModelId::value, ModelId::of);
		addScalarType(module, OrganisationId.class, OrganisationId::value, OrganisationId::of);
		addScalarType(module, Region.class, Region::value, Region::of);
		addScalarType(module, RequestId.class, RequestId::value, RequestId::of);
		addScalarType(module, ServiceId.class, ServiceId::value, ServiceId::of);
		addScalarType(module, PriorityClass.class, PriorityClass::toLabel, PriorityClass::parse);
		addScalarType(module, FencingToken.class, FencingToken::value,
				(text) -> new FencingToken(Long.parseLong(text)));
		return module;
	}

	private static <T> void addScalarType(SimpleModule module, Class<T> type, Function<T, Object> toScalar,
			Function<String, T> fromText) {
		module.addSerializer(type, new ScalarSerializer<>(toScalar));
		module.addDeserializer(type, new ScalarDeserializer<>(fromText));
		module.addKeySerializer(type, new ScalarKeySerializer<>(toScalar));
		module.addKeyDeserializer(type, new ScalarKeyDeserializer<>(fromText));
	}

	/** Serialises a value object as a string or number. */
	private static final class ScalarSerializer<T> extends JsonSerializer<T> {

		/** Converts a value to its string or number. */
		private final Function<T, Object> toScalar;

		ScalarSerializer(Function<T, Object> toScalar) {
			this.toScalar = toScalar;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeObject(this.toScalar.apply(value));
		}

	}

	/** Serialises a value object as a field name. */
	private static final class ScalarKeySerializer<T> extends JsonSerializer<T> {

		/** Converts a value to its string or number. */
		private final Function<T, Object> toScalar;

		ScalarKeySerializer(Function<T, Object> toScalar) {
			this.toScalar = toScalar;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeFieldName(String.valueOf(this.toScalar.apply(value)));
		}

	}

	/** Deserialises a value object from a field name. */
	private static final class ScalarKeyDeserializer<T> extends KeyDeserializer {

		/** Converts a text to its value. */
		private final Function<String, T> fromText;

		ScalarKeyDeserializer(Function<String, T> fromText) {
			this.fromText = fromText;
		}

		@Override
		public Object deserializeKey(String key, DeserializationContext context) throws IOException {
			try {
				return this.fromText.apply(key);
			}
			catch (IllegalArgumentException ex) {
				throw context.weirdStringException(key, Object.class, ex.getMessage());
			}
		}

	}

	/** Deserialises a value object from a string or number. */
	private static final class ScalarDeserializer<T> extends JsonDeserializer<T> {

		/** Converts a text to its value. */
		private final Function<String, T> fromText;

		ScalarDeserializer(Function<String, T> fromText) {
			this.fromText = fromText;
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			String text = parser.getValueAsString();
			if (text == null) {
				throw context.weirdStringException("", handledType(), "expected a string or a number");
			}
			try {
				return this.fromText.apply(text);
			}
			catch (IllegalArgumentException ex) {
				throw context.weirdStringException(text, Object.class, ex.getMessage());
			}
		}

	}

}
