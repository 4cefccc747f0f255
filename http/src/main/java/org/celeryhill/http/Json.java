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
 * JSON mapping of the port messages: identifiers are strings, fencing tokens are numbers,
 * priority classes are their labels, unknown fields are ignored. Thread-safe.
 */
public final class Json {

	/** Mapper with the module of the identifiers. */
	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.addModule(module())
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
	 * Writes a value as UTF-8 JSON.
	 * @param value the value, may be null
	 * @return the bytes, never null
	 * @throws IllegalArgumentException if the value has no JSON form
	 */
	public static byte[] write(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("no JSON form: " + ex.getOriginalMessage(), ex);
		}
	}

	/**
	 * Reads a value from UTF-8 JSON.
	 * @param <T> the type of the value
	 * @param bytes the JSON text, not null
	 * @param type the type of the value, not null
	 * @return the value, or empty if the bytes are not its JSON form
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
	 * Reads a list from UTF-8 JSON.
	 * @param <T> the type of the items
	 * @param bytes the JSON text, not null
	 * @param type the type of the items, not null
	 * @return the items, or empty if the bytes are not their JSON form
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
	 * Returns the code of an error document.
	 * @param bytes the body of an answer, not null
	 * @return the code, empty if the body is not an error document
	 */
	public static String readErrorCode(byte[] bytes) {
		return read(bytes, JsonNode.class).map((node) -> node.path("error").path("code").asText("")).orElse("");
	}

	private static SimpleModule module() {
		SimpleModule module = new SimpleModule("celeryhill");
		add(module, AttemptId.class, AttemptId::value, AttemptId::of);
		add(module, BackendServerId.class, BackendServerId::value, BackendServerId::of);
		add(module, DataCentre.class, DataCentre::value, DataCentre::of);
		add(module, HostId.class, HostId::value, HostId::of);
		add(module, ModelId.class, ModelId::value, ModelId::of);
		add(module, OrganisationId.class, OrganisationId::value, OrganisationId::of);
		add(module, Region.class, Region::value, Region::of);
		add(module, RequestId.class, RequestId::value, RequestId::of);
		add(module, ServiceId.class, ServiceId::value, ServiceId::of);
		add(module, PriorityClass.class, PriorityClass::toLabel, PriorityClass::parse);
		add(module, FencingToken.class, FencingToken::value, (text) -> new FencingToken(Long.parseLong(text)));
		return module;
	}

	private static <T> void add(SimpleModule module, Class<T> type, Function<T, Object> write,
			Function<String, T> read) {
		module.addSerializer(type, new ScalarSerializer<>(write));
		module.addDeserializer(type, new ScalarDeserializer<>(read));
		module.addKeySerializer(type, new KeySerializer<>(write));
		module.addKeyDeserializer(type, new KeyReader<>(read));
	}

	/** Writes a value object as a string or number. */
	private static final class ScalarSerializer<T> extends JsonSerializer<T> {

		/** Returns the string or number of a value. */
		private final Function<T, Object> function;

		ScalarSerializer(Function<T, Object> function) {
			this.function = function;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeObject(this.function.apply(value));
		}

	}

	/** Writes a value object as a field name. */
	private static final class KeySerializer<T> extends JsonSerializer<T> {

		/** Returns the string or number of a value. */
		private final Function<T, Object> function;

		KeySerializer(Function<T, Object> function) {
			this.function = function;
		}

		@Override
		public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeFieldName(String.valueOf(this.function.apply(value)));
		}

	}

	/** Reads a value object from a field name. */
	private static final class KeyReader<T> extends KeyDeserializer {

		/** Returns the value of a text. */
		private final Function<String, T> function;

		KeyReader(Function<String, T> function) {
			this.function = function;
		}

		@Override
		public Object deserializeKey(String key, DeserializationContext context) throws IOException {
			try {
				return this.function.apply(key);
			}
			catch (IllegalArgumentException ex) {
				throw context.weirdStringException(key, Object.class, ex.getMessage());
			}
		}

	}

	/** Reads a value object from a string or number. */
	private static final class ScalarDeserializer<T> extends JsonDeserializer<T> {

		/** Returns the value of a text. */
		private final Function<String, T> function;

		ScalarDeserializer(Function<String, T> function) {
			this.function = function;
		}

		@Override
		public T deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			String text = parser.getValueAsString();
			if (text == null) {
				throw context.weirdStringException("", handledType(), "expected a string or a number");
			}
			try {
				return this.function.apply(text);
			}
			catch (IllegalArgumentException ex) {
				throw context.weirdStringException(text, Object.class, ex.getMessage());
			}
		}

	}

}
