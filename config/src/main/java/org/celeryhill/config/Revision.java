package org.celeryhill.config;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.ServiceId;

/**
 * Complete configuration with its revision number. Immutable and thread-safe.
 *
 * @param number the revision number, 0 for the empty configuration in effect before the
 * first accepted revision
 * @param templates the service templates, not null
 * @param organisations the parameters, at most one for each organisation and service, not
 * null
 */
public record Revision(long number, List<ServiceTemplate> templates, List<OrganisationParameters> organisations) {

	/** Empty configuration, in effect before the first accepted revision. */
	public static final Revision EMPTY = new Revision(0, List.of(), List.of());

	/**
	 * Creates a revision and copies the lists.
	 * @throws IllegalArgumentException if the number is negative
	 */
	public Revision {
		if (number < 0) {
			throw new IllegalArgumentException("revision number must not be negative: " + number);
		}
		templates = List.copyOf(templates);
		organisations = List.copyOf(organisations);
	}

	/**
	 * Returns the template of a service.
	 * @param service the service, not null
	 * @return the template, or empty if there is none
	 */
	public Optional<ServiceTemplate> findTemplate(ServiceId service) {
		Objects.requireNonNull(service, "service");
		return this.templates.stream().filter((template) -> template.service().equals(service)).findFirst();
	}

	/**
	 * Returns the parameters of an organisation for a service.
	 * @param organisation the organisation, not null
	 * @param service the service, not null
	 * @return the parameters, or empty if there are none
	 */
	public Optional<OrganisationParameters> findParameters(OrganisationId organisation, ServiceId service) {
		return this.organisations.stream()
			.filter((parameters) -> parameters.organisation().equals(organisation)
					&& parameters.service().equals(service))
			.findFirst();
	}

	/**
	 * Returns the parameters through which an organisation uses a model.
	 * @param organisation the organisation, not null
	 * @param model the model or adapter, not null
	 * @return the parameters, or empty if the organisation does not have the model
	 */
	public Optional<OrganisationParameters> findParameters(OrganisationId organisation, ModelId model) {
		return this.organisations.stream()
			.filter((parameters) -> parameters.organisation().equals(organisation))
			.filter((parameters) -> parameters.models().stream().anyMatch((spec) -> spec.id().equals(model)))
			.findFirst();
	}

}
