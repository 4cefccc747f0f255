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
 * One revision indexed for authentication and look-up: who has a key, and what an
 * organisation reaches. Immutable and thread-safe.
 */
final class CallerIndex {

	/** Scheme of the {@code Authorization} header. */
	private static final String BEARER = "Bearer ";

	/** Longest API key that is digested, in characters. */
	private static final int MAX_KEY_LENGTH = 512;

	/** Configuration that is indexed. */
	private final Revision revision;

	/** Organisation by the digest of its keys. */
	private final Map<String, OrganisationId> keys = new HashMap<>();

	/** Parameters by organisation and service. */
	private final Map<OrganisationId, Map<ServiceId, OrganisationParameters>> services = new HashMap<>();

	/** Parameters by organisation and model, in the order of the revision. */
	private final Map<OrganisationId, Map<ModelId, OrganisationParameters>> models = new HashMap<>();

	private CallerIndex(Revision revision) {
		this.revision = revision;
		for (OrganisationParameters one : revision.organisations()) {
			one.keyHashes().forEach((hash) -> this.keys.put(hash, one.organisation()));
			this.services.computeIfAbsent(one.organisation(), (key) -> new HashMap<>()).put(one.service(), one);
			Map<ModelId, OrganisationParameters> own = this.models.computeIfAbsent(one.organisation(),
					(key) -> new java.util.LinkedHashMap<>());
			one.models().forEach((spec) -> own.putIfAbsent(spec.id(), one));
		}
	}

	static CallerIndex of(Revision revision) {
		return new CallerIndex(Objects.requireNonNull(revision, "revision"));
	}

	Revision revision() {
		return this.revision;
	}

	/**
	 * Returns the organisation of the key in an {@code Authorization} header. The key is
	 * looked up by its digest, so that the time taken says nothing about other keys.
	 * @param header the header, null if there is none
	 * @return the organisation, never null
	 * @throws ApiException if there is no key or no organisation has it
	 */
	OrganisationId authenticate(String header) throws ApiException {
		if (this.revision.number() == 0) {
			throw new ApiException(ApiError
				.notRun(ErrorCode.STARTING, "This daemon has no configuration yet; retry after the given time.")
				.withRetryAfter(java.time.Duration.ofSeconds(1)));
		}
		if (header == null || !header.regionMatches(true, 0, BEARER, 0, BEARER.length())) {
			throw ApiException.notRun(ErrorCode.UNAUTHENTICATED,
					"Send the API key in the header 'Authorization: Bearer <key>'.");
		}
		String key = header.substring(BEARER.length()).trim();
		OrganisationId organisation = (key.isEmpty() || key.length() > MAX_KEY_LENGTH) ? null
				: this.keys.get(DigestUtils.sha256Hex(key.getBytes(StandardCharsets.UTF_8)));
		if (organisation == null) {
			throw ApiException.notRun(ErrorCode.UNAUTHENTICATED,
					"No organisation has this API key; check the key or ask the operator for a new one.");
		}
		return organisation;
	}

	OrganisationParameters model(OrganisationId organisation, ModelId model) throws ApiException {
		OrganisationParameters found = this.models.getOrDefault(organisation, Map.of()).get(model);
		if (found == null) {
			throw ApiException.notRun(ErrorCode.MODEL_NOT_FOUND,
					"The organisation has no model '" + shorten(model.value()) + "'; GET /v1/models lists its models.");
		}
		return found;
	}

	OrganisationParameters service(OrganisationId organisation, ServiceId service) throws ApiException {
		OrganisationParameters found = this.services.getOrDefault(organisation, Map.of()).get(service);
		Optional<ServiceTemplate> template = template(service);
		if (found == null || template.isEmpty() || template.get().kind() != ServiceTemplate.Kind.PLAIN_SERVICE) {
			throw ApiException.notRun(ErrorCode.SERVICE_NOT_FOUND, "The organisation has no plain service '"
					+ shorten(service.value()) + "'; check the name in the path /v1/services/{service}/.");
		}
		return found;
	}

	Optional<ServiceTemplate> template(ServiceId service) {
		return this.revision.findTemplate(service);
	}

	List<ModelId> models(OrganisationId organisation) {
		return List.copyOf(this.models.getOrDefault(organisation, Map.of()).keySet());
	}

	private static String shorten(String text) {
		return (text.length() > 80) ? text.substring(0, 80) + "..." : text;
	}

}
