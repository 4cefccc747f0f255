package org.celeryhill.forward;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.access.AccessDecision;
import org.celeryhill.access.KeyDirectory;
import org.celeryhill.access.Organisation;
import org.celeryhill.access.PresentedKeys;

/**
 * Checks the keys of requests against the active configuration. Must be used on the event
 * loop.
 */
final class AccessGuard {

	/** Scheme by which callers identify themselves, as every 401 has to name one. */
	private static final String CHALLENGE = "ApiKey";

	private KeyDirectory directory = KeyDirectory.NONE;

	private BooleanSupplier isConfigurationCurrent = () -> true;

	private boolean isIdentifying;

	void setConfigurationCurrency(BooleanSupplier isCurrent) {
		this.isConfigurationCurrent = isCurrent;
	}

	void apply(KeyDirectory next) {
		this.directory = next;
		this.isIdentifying |= next.isKeyRequired();
	}

	// Returns whether callers send keys to this system. They may still do so after a
	// configuration without organisations has replaced one that had some.
	boolean isIdentifying() {
		return this.isIdentifying;
	}

	AccessDecision check(Route route, PresentedKeys keys) {
		return this.directory.decide(keys, route.isPublic());
	}

	// Returns how to refuse a new request. A key that is unknown here may be one that a
	// configuration which has not arrived yet has added.
	Refusal refusalOf(AccessDecision.Denied denied) {
		boolean isUnknown = denied.reason() == AccessDecision.Reason.KEY_UNKNOWN;
		if (isUnknown && !this.isConfigurationCurrent.getAsBoolean()) {
			return new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "key_not_known_yet");
		}
		return new Refusal(HttpResponseStatus.UNAUTHORIZED, denied.reason().toLabel());
	}

	// Checks again, under a new configuration, a request that was allowed before.
	Optional<Refusal> recheck(Route route, PresentedKeys keys, Optional<Organisation> before) {
		if (!(check(route, keys) instanceof AccessDecision.Granted granted)) {
			return Optional.of(new Refusal(HttpResponseStatus.UNAUTHORIZED, "key_revoked"));
		}
		boolean isSame = granted.organisation().map(Organisation::id).equals(before.map(Organisation::id));
		return isSame ? Optional.empty()
				: Optional.of(new Refusal(HttpResponseStatus.SERVICE_UNAVAILABLE, "organisation_changed"));
	}

	static void addChallenge(HttpHeaders headers, HttpResponseStatus status) {
		if (status == HttpResponseStatus.UNAUTHORIZED) {
			headers.set(HttpHeaderNames.WWW_AUTHENTICATE, CHALLENGE);
		}
	}

	/**
	 * How a request is refused that has not been executed.
	 *
	 * @param status 401 if the request may not be served, 503 if it may be when it is
	 * sent again
	 * @param reason the reason, for logs and metrics
	 */
	record Refusal(HttpResponseStatus status, String reason) {

		/** Time after which this host probably knows the newest configuration. */
		private static final Duration RETRY_AFTER = Duration.ofMillis(300);

		// Returns the time after which the caller may ask again, empty if it need not.
		Optional<Duration> retryAfter() {
			boolean isUndecided = this.status.equals(HttpResponseStatus.SERVICE_UNAVAILABLE);
			return isUndecided ? Optional.of(RETRY_AFTER) : Optional.empty();
		}

	}

}
