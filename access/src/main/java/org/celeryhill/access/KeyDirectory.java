package org.celeryhill.access;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.OrganisationId;

/**
 * The organisations of one version of the configuration, by the API keys of their
 * callers. Its text form contains no key. Immutable and thread-safe.
 */
public final class KeyDirectory {

	/** The directory of a configuration without organisations: no keys are needed. */
	public static final KeyDirectory NONE = new KeyDirectory(List.of(), Map.of());

	/** Largest length of a key, in characters. */
	public static final int MAX_KEY_LENGTH = 1024;

	private static final AccessDecision NO_KEY_NEEDED = new AccessDecision.Granted(Optional.empty());

	private final List<Organisation> organisations;

	private final boolean hasDifferentPriorities;

	private final Map<String, AccessDecision.Granted> byKey = new HashMap<>();

	private final Map<OrganisationId, Integer> keyCounts = new HashMap<>();

	private KeyDirectory(List<Organisation> organisations, Map<String, Organisation> byKey) {
		this.organisations = organisations;
		this.hasDifferentPriorities = organisations.stream().map(Organisation::priority).distinct().count() > 1;
		Map<OrganisationId, AccessDecision.Granted> grants = new HashMap<>();
		byKey.forEach((key, organisation) -> {
			this.byKey.put(key, grants.computeIfAbsent(organisation.id(),
					(id) -> new AccessDecision.Granted(Optional.of(organisation))));
			this.keyCounts.merge(organisation.id(), 1, Integer::sum);
		});
	}

	/**
	 * Creates a directory.
	 * @param organisations the organisations with different ids, not null, not empty
	 * @param keys the organisation of each key, not null
	 * @return the directory, never null
	 */
	public static KeyDirectory of(Collection<Organisation> organisations, Map<String, Organisation> keys) {
		return new KeyDirectory(List.copyOf(organisations), keys);
	}

	/**
	 * Returns whether a text may be a key.
	 * @param text the text, not null
	 * @return whether it is not blank, not too long and without control characters
	 */
	public static boolean isWellFormed(String text) {
		return !text.isBlank() && text.length() <= MAX_KEY_LENGTH && text.chars().noneMatch(Character::isISOControl);
	}

	/**
	 * Returns whether callers need a key, except on public routes.
	 * @return whether the configuration contains organisations
	 */
	public boolean isKeyRequired() {
		return !this.organisations.isEmpty();
	}

	/**
	 * Decides whether a request may be served, in constant time in the number of keys.
	 * @param keys the keys of the request, not null
	 * @param isPublic whether its route needs no key
	 * @return the decision, never null
	 */
	public AccessDecision decide(PresentedKeys keys, boolean isPublic) {
		if (isPublic || !isKeyRequired()) {
			return NO_KEY_NEEDED;
		}
		List<String> values = keys.distinctValues();
		if (values.size() > 1) {
			return new AccessDecision.Denied(AccessDecision.Reason.SEVERAL_KEYS);
		}
		if (values.isEmpty() || values.get(0).isBlank()) {
			return new AccessDecision.Denied(AccessDecision.Reason.KEY_MISSING);
		}
		if (!isWellFormed(values.get(0))) {
			return new AccessDecision.Denied(AccessDecision.Reason.KEY_MALFORMED);
		}
		AccessDecision.Granted granted = this.byKey.get(values.get(0));
		return (granted != null) ? granted : new AccessDecision.Denied(AccessDecision.Reason.KEY_UNKNOWN);
	}

	/**
	 * Returns all organisations.
	 * @return the organisations, never null
	 */
	public List<Organisation> organisations() {
		return this.organisations;
	}

	/**
	 * Returns whether the priorities of organisations tell any two of them apart.
	 * @return false if all organisations have the same priority, or none has one
	 */
	public boolean hasDifferentPriorities() {
		return this.hasDifferentPriorities;
	}

	/**
	 * Returns the number of keys of an organisation.
	 * @param organisation the organisation, not null
	 * @return the number, zero if the organisation is unknown
	 */
	public int keyCount(OrganisationId organisation) {
		return this.keyCounts.getOrDefault(organisation, 0);
	}

	@Override
	public String toString() {
		return "KeyDirectory[organisations=" + this.organisations.size() + ", keys=" + this.byKey.size() + "]";
	}

}
