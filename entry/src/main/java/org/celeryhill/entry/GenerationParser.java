package org.celeryhill.entry;

import java.io.IOException;
import java.security.MessageDigest;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.commons.codec.digest.DigestUtils;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.TimerService;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.state.ServingSystem;

/**
 * Parses and validates the bodies of generation requests. Immutable and thread-safe.
 */
final class GenerationParser {

	/** Maximum nesting depth of a body. */
	private static final int MAX_NESTING = 32;

	/** Maximum number of messages of a chat. */
	private static final int MAX_MESSAGES = 2000;

	/** Reads JSON within the nesting limit. */
	private static final ObjectMapper JSON = new ObjectMapper(JsonFactory.builder()
		.streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_NESTING).build())
		.build());

	/** Maximum number of tokens of a response when the request sets none. */
	private final int defaultMaxTokens;

	/** Maximum number of tokens of a response that a request may set. */
	private final int maxTokens;

	/** Clock for arrival and creation times. */
	private final TimerService timer;

	GenerationParser(int defaultMaxTokens, int maxTokens, TimerService timer) {
		this.defaultMaxTokens = defaultMaxTokens;
		this.maxTokens = maxTokens;
		this.timer = timer;
	}

	/**
	 * Parses and validates a request.
	 * @param id the id of the request, not null
	 * @param organisation the organisation of the caller, not null
	 * @param index the configuration, not null
	 * @param shape the API format of request and response, not null
	 * @param priority the value of {@code X-Priority}, null if absent
	 * @param body the request body, not null
	 * @return the validated job, never null
	 * @throws ApiException if the request is invalid or not allowed
	 */
	GenerationJob parse(RequestId id, OrganisationId organisation, CallerIndex index, ApiShape shape, String priority,
			byte[] body) throws ApiException {
		JsonNode root = readObject(body);
		ModelId model = ModelId.of(requiredText(root, "model"));
		OrganisationParameters parameters = index.model(organisation, model);
		String prompt = (shape == ApiShape.CHAT) ? buildChatPrompt(root) : requiredText(root, "prompt");
		if (root.path("n").asInt(1) != 1) {
			throw invalidRequest("Field 'n' must be 1; send several requests for several answers.");
		}
		int tokens = tokens(root);
		long seed = seed(root, id);
		ServingSystem system = TrafficSplit.choose(id.value(), parameters.newSystemPercent());
		return new GenerationJob(id, id, organisation, parameters.service(), model, priority(priority, parameters),
				shape, Optional.of(prompt), PromptPrefix.hashes(model, prompt), tokens, seed, isStream(root), system,
				this.timer.instant().getEpochSecond(), digest(organisation, shape, body), this.timer.nanoTime());
	}

	/**
	 * Returns the priority class for a value of {@code X-Priority}.
	 * @param label the value of the header, null if absent
	 * @param parameters the parameters with the allowed classes, not null
	 * @return the class; without a label, normal if allowed, else batch if allowed, else
	 * urgent
	 * @throws ApiException if the value is unknown or the class is not allowed
	 */
	static PriorityClass priority(String label, OrganisationParameters parameters) throws ApiException {
		if (label == null) {
			return List.of(PriorityClass.NORMAL, PriorityClass.BATCH, PriorityClass.URGENT)
				.stream()
				.filter(parameters.classes()::contains)
				.findFirst()
				.orElseThrow();
		}
		PriorityClass requested;
		try {
			requested = PriorityClass.parse(label.trim());
		}
		catch (IllegalArgumentException ex) {
			throw invalidRequest("Header X-Priority must be urgent, normal or batch.");
		}
		if (!parameters.classes().contains(requested)) {
			throw ApiException.notRun(ErrorCode.PRIORITY_NOT_ALLOWED,
					"The organisation may not use priority class '" + requested.toLabel() + "'; leave X-Priority out.");
		}
		return requested;
	}

	/**
	 * Returns the digest that identifies a repetition of the same request.
	 * @param organisation the organisation of the caller, not null
	 * @param shape the API format of the request, not null
	 * @param body the request body, not null
	 * @return the digest, {@link EventId#DIGEST_BYTES} long
	 */
	static byte[] digest(OrganisationId organisation, ApiShape shape, byte[] body) {
		MessageDigest sha = DigestUtils.getSha256Digest();
		DigestUtils.updateDigest(sha, organisation.value() + "\n" + shape + "\n");
		return Arrays.copyOf(sha.digest(body), EventId.DIGEST_BYTES);
	}

	private static JsonNode readObject(byte[] body) throws ApiException {
		try {
			JsonNode root = JSON.readTree(body);
			if (root != null && root.isObject()) {
				return root;
			}
		}
		catch (IOException ex) {
			// The message of the exception may quote the body, so it is not passed on.
		}
		throw ApiException.notRun(ErrorCode.INVALID_JSON,
				"The body must be one JSON object in UTF-8, nested at most " + MAX_NESTING + " levels.");
	}

	private static String requiredText(JsonNode root, String field) throws ApiException {
		JsonNode value = root.path(field);
		if (!value.isTextual() || value.textValue().isBlank()) {
			throw invalidRequest("Field '" + field + "' must be a text that is not empty.");
		}
		return value.textValue();
	}

	private static String buildChatPrompt(JsonNode root) throws ApiException {
		JsonNode messages = root.path("messages");
		if (!messages.isArray() || messages.isEmpty() || messages.size() > MAX_MESSAGES) {
			throw invalidRequest("Field 'messages' must be an array of 1 to " + MAX_MESSAGES + " messages.");
		}
		StringBuilder prompt = new StringBuilder();
		for (JsonNode message : messages) {
			prompt.append(requiredText(message, "role")).append(": ");
			appendContent(prompt, message.path("content"));
			prompt.append('\n');
		}
		return prompt.append("assistant: ").toString();
	}

	private static void appendContent(StringBuilder prompt, JsonNode content) throws ApiException {
		if (content.isTextual()) {
			prompt.append(content.textValue());
			return;
		}
		if (!content.isArray()) {
			throw invalidRequest("Field 'content' of a message must be a text or an array of text parts.");
		}
		for (JsonNode part : content) {
			if (!"text".equals(part.path("type").asText())) {
				throw invalidRequest("Parts of 'content' must have type 'text'.");
			}
			prompt.append(requiredText(part, "text"));
		}
	}

	private int tokens(JsonNode root) throws ApiException {
		JsonNode value = root.has("max_completion_tokens") ? root.get("max_completion_tokens")
				: root.path("max_tokens");
		if (value.isMissingNode() || value.isNull()) {
			return this.defaultMaxTokens;
		}
		if (!value.isInt() || value.intValue() < 1 || value.intValue() > this.maxTokens) {
			throw invalidRequest("Field 'max_tokens' must be a whole number from 1 to " + this.maxTokens + ".");
		}
		return value.intValue();
	}

	private static long seed(JsonNode root, RequestId id) throws ApiException {
		JsonNode value = root.path("seed");
		if (value.isMissingNode() || value.isNull()) {
			return TextHash.append(TextHash.EMPTY, id.value()) >>> 1;
		}
		if (!value.isIntegralNumber() || !value.canConvertToLong()) {
			throw invalidRequest("Field 'seed' must be a whole number of at most 64 bits.");
		}
		return value.longValue();
	}

	private static boolean isStream(JsonNode root) throws ApiException {
		JsonNode value = root.path("stream");
		if (!value.isMissingNode() && !value.isNull() && !value.isBoolean()) {
			throw invalidRequest("Field 'stream' must be true or false.");
		}
		return value.asBoolean(false);
	}

	private static ApiException invalidRequest(String message) {
		return ApiException.notRun(ErrorCode.INVALID_REQUEST, message);
	}

}
