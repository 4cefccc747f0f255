package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

import org.apache.commons.codec.digest.DigestUtils;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;

/**
 * One configuration revision, indexed for authentication by API key and for look-up of
 * the models and services of an organisation. Immutable and thread-safe.
 */
final class CallerIndex {

	/** Authentication scheme of the {@code Authorization} header. */
	private static final String BEARER_PREFIX = "Bearer ";

	/** Maximum length of an API key, in characters; longer ones are not hashed. */
	private static final int MAX_KEY_LENGTH = 512;

	/** Indexed configuration. */
	private final Revision revision;

	/** Organisation by the SHA-256 hash of each of its API keys. */
	private final Map<String, OrganisationId> organisationsByKeyHash = new HashMap<>();

	/** Parameters by organisation and service. */
	private final Map<OrganisationId, Map<ServiceId, OrganisationParameters>> parametersByService = new HashMap<>();

	/** Parameters by organisation and model, in the order of the revision. */
	private final Map<OrganisationId, Map<ModelId, OrganisationParameters>> models = new HashMap<>();

	private CallerIndex(Revision revision) {
		this.revision = revision;
		for (OrganisationParameters parameters : revision.organisations()) {
			parameters.keyHashes().forEach((hash) -> this.organisationsByKeyHash.put(hash, parameters.organisation()));
			this.parametersByService.computeIfAbsent(parameters.organisation(), (key) -> new HashMap<>())
				.put(parameters.service(), parameters);
			Map<ModelId, OrganisationParameters> organisationModels = this.models
				.computeIfAbsent(parameters.organisation(), (key) -> new java.util.LinkedHashMap<>());
			parameters.models().forEach((spec) -> organisationModels.putIfAbsent(spec.id(), parameters));
		}
	}

	static CallerIndex of(Revision revision) {
		return new CallerIndex(Objects.requireNonNull(revision, "revision"));
	}

	Revision revision() {
		return this.revision;
	}

	/**
	 * Returns the organisation of the API key in an {@code Authorization} header. The key
	 * is looked up by its hash, so that the response time reveals nothing about other
	 * keys.
	 * @param header the value of the header, null if absent
	 * @return the organisation, never null
	 * @throws ApiException if there is no configuration yet, the key is missing or no
	 * organisation has it
	 */
	OrganisationId authenticate(String header) throws ApiException {
		if (this.revision.number() == 0) {
			throw new ApiException(ApiError
				.notRun(ErrorCode.STARTING, "This daemon has no configuration yet; retry after the given time.")
				.withRetryAfter(java.time.Duration.ofSeconds(1)));
		}
		if (header == null || !header.regionMatches(true, 0, BEARER_PREFIX, 0, BEARER_PREFIX.length())) {
			throw ApiException.notRun(ErrorCode.UNAUTHENTICATED,
					"Send the API key in the header 'Authorization: Bearer <key>'.");
		}
		String key = header.substring(BEARER_PREFIX.length()).trim();
		OrganisationId organisation = (key.isEmpty() || key.length() > MAX_KEY_LENGTH) ? null
				: this.organisationsByKeyHash.get(DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8)));
		if (organisation == null) {
			throw ApiException.notRun(ErrorCode.UNAUTHENTICATED,
					"No organisation has this API key; check the key or ask the operator for a new one.");
		}
		return organisation;
	}

	OrganisationParameters model(OrganisationId organisation, ModelId model) throws ApiException {
		OrganisationParameters found = this.models.getOrDefault(organisation, Map.of()).get(model);
		if (found == null) {
			throw ApiException.notRun(ErrorCode.MODEL_NOT_FOUND, "The organisation has no model '"
					+ truncate(model.value()) + "'; GET /v1/models lists its models.");
		}
		return found;
	}

	OrganisationParameters service(OrganisationId organisation, ServiceId service) throws ApiException {
		OrganisationParameters found = this.parametersByService.getOrDefault(organisation, Map.of()).get(service);
		Optional<ServiceTemplate> template = template(service);
		if (found == null || template.isEmpty() || template.get().kind() != ServiceTemplate.Kind.PLAIN_SERVICE) {
			throw ApiException.notRun(ErrorCode.SERVICE_NOT_FOUND, "The organisation has no plain service '"
					+ truncate(service.value()) + "'; check the name in the path /v1/services/{service}/.");
		}
		return found;
	}

	Optional<ServiceTemplate> template(ServiceId service) {
		return this.revision.findTemplate(service);
	}

	List<ModelId> models(OrganisationId organisation) {
		return List.copyOf(this.models.getOrDefault(organisation, Map.of()).keySet());
	}

	private static String truncate(String text) {
		return (text.length() > 80) ? text.substring(0, 80) + "..." : text;
	}

}
