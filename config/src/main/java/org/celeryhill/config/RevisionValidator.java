package org.celeryhill.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.ServiceId;

/**
 * Validates the documents of a revision against each other. Stateless and thread-safe.
 */
final class RevisionValidator {

	private RevisionValidator() {
	}

	static void validate(List<RevisionParser.Located<ServiceTemplate>> templates,
			List<RevisionParser.Located<OrganisationParameters>> organisations, List<Finding> findings) {
		Map<ServiceId, ServiceTemplate> byService = new HashMap<>();
		for (RevisionParser.Located<ServiceTemplate> template : templates) {
			checkTemplate(template, byService, findings);
		}
		Set<String> organisationServicePairs = new HashSet<>();
		Map<ModelId, OrganisationId> modelOwners = new HashMap<>();
		Map<String, OrganisationId> keyOwners = new HashMap<>();
		for (RevisionParser.Located<OrganisationParameters> organisation : organisations) {
			OrganisationParameters value = organisation.value();
			if (!organisationServicePairs.add(value.organisation() + " " + value.service())) {
				findings.add(error(organisation, "organisation", "organisation '" + value.organisation()
						+ "' has two sets of parameters for '" + value.service() + "'"));
			}
			checkService(organisation, byService, findings);
			checkModels(organisation, modelOwners, findings);
			checkKeys(organisation, keyOwners, findings);
		}
	}

	private static void checkTemplate(RevisionParser.Located<ServiceTemplate> template,
			Map<ServiceId, ServiceTemplate> byService, List<Finding> findings) {
		ServiceTemplate value = template.value();
		if (byService.put(value.service(), value) != null) {
			findings.add(error(template, "template", "template '" + value.service() + "' is defined twice"));
		}
		double floorSum = value.classes().values().stream().mapToDouble(ClassTarget::floor).sum();
		if (floorSum > 1) {
			findings.add(error(template, "classes", "the floors add up to " + floorSum + " but must not exceed 1"));
		}
		if (value.kind() == ServiceTemplate.Kind.MODEL_ENGINE && !value.paths().isEmpty()) {
			findings.add(error(template, "paths", "paths apply to plain services only"));
		}
	}

	private static void checkService(RevisionParser.Located<OrganisationParameters> organisation,
			Map<ServiceId, ServiceTemplate> byService, List<Finding> findings) {
		OrganisationParameters value = organisation.value();
		Optional<ServiceTemplate> template = Optional.ofNullable(byService.get(value.service()));
		if (template.isEmpty()) {
			String known = byService.keySet()
				.stream()
				.map(ServiceId::toString)
				.sorted()
				.collect(Collectors.joining(", "));
			findings.add(error(organisation, "service",
					"no template for service '" + value.service() + "'; templates: " + known));
			return;
		}
		boolean isPlain = template.get().kind() == ServiceTemplate.Kind.PLAIN_SERVICE;
		if (isPlain && !value.models().isEmpty()) {
			findings.add(error(organisation, "models",
					"service '" + value.service() + "' is a plain service and has no models"));
		}
		if (!isPlain && value.models().isEmpty()) {
			findings.add(Finding.warning(organisation.source(), organisation.line(), "models",
					"organisation '" + value.organisation() + "' has no model on '" + value.service() + "'"));
		}
	}

	private static void checkModels(RevisionParser.Located<OrganisationParameters> organisation,
			Map<ModelId, OrganisationId> modelOwners, List<Finding> findings) {
		OrganisationParameters value = organisation.value();
		Set<ModelId> baseModels = value.models()
			.stream()
			.filter((model) -> !model.isAdapter())
			.map(ModelSpec::id)
			.collect(Collectors.toSet());
		for (ModelSpec model : value.models()) {
			OrganisationId owner = modelOwners.putIfAbsent(model.id(), value.organisation());
			if (owner != null) {
				findings.add(error(organisation, "models", "model '" + model.id() + "' is already given for '" + owner
						+ "'; start the id with the organisation's name"));
			}
			if (model.isAdapter() && !baseModels.contains(model.base().get())) {
				findings.add(error(organisation, "adapters", "adapter '" + model.id() + "' needs base model '"
						+ model.base().get() + "', which the organisation does not have on this service"));
			}
		}
	}

	private static void checkKeys(RevisionParser.Located<OrganisationParameters> organisation,
			Map<String, OrganisationId> keyOwners, List<Finding> findings) {
		OrganisationId id = organisation.value().organisation();
		for (String hash : organisation.value().keyHashes()) {
			OrganisationId owner = keyOwners.putIfAbsent(hash, id);
			if (owner != null && !owner.equals(id)) {
				findings.add(error(organisation, "key-hashes",
						"the key " + hash.substring(0, 8) + "... belongs to organisation '" + owner + "' too"));
			}
		}
	}

	private static Finding error(RevisionParser.Located<?> located, String path, String message) {
		return Finding.error(located.source(), located.line(), path, message);
	}

}
