package org.celeryhill.config;

import java.io.StringReader;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.ServiceId;
import org.yaml.snakeyaml.LoaderOptions;
import org.yaml.snakeyaml.Yaml;
import org.yaml.snakeyaml.error.MarkedYAMLException;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.ScalarNode;

/**
 * Parses templates and parameters from YAML files and reports all findings together, each
 * with file, line and path. Stateless and thread-safe.
 */
public final class RevisionParser {

	/**
	 * Maximum size of a file, in characters; a larger file is rejected without being
	 * parsed.
	 */
	public static final int MAX_FILE_CHARACTERS = 4 * 1024 * 1024;

	/** SHA-256 digest in lower-case hexadecimal. */
	private static final Pattern SHA_256_DIGEST = Pattern.compile("[0-9a-f]{64}");

	private RevisionParser() {
	}

	/**
	 * Parses and validates a revision document.
	 * @param document the document, not null
	 * @return all findings, and the revision with the document's number unless a finding
	 * is an error, never null
	 */
	public static ParsedRevision parse(RevisionDocument document) {
		Objects.requireNonNull(document, "document");
		List<Finding> findings = new ArrayList<>();
		List<Located<ServiceTemplate>> templates = new ArrayList<>();
		List<Located<OrganisationParameters>> organisations = new ArrayList<>();
		document.files().forEach((name, text) -> parseFile(name, text, templates, organisations, findings));
		RevisionValidator.validate(templates, organisations, findings);
		if (findings.stream().anyMatch(Finding::isError)) {
			return new ParsedRevision(Optional.empty(), findings);
		}
		Revision revision = new Revision(document.number(), templates.stream().map(Located::value).toList(),
				organisations.stream().map(Located::value).toList());
		return new ParsedRevision(Optional.of(revision), findings);
	}

	private static void parseFile(String name, String text, List<Located<ServiceTemplate>> templates,
			List<Located<OrganisationParameters>> organisations, List<Finding> findings) {
		if (text.length() > MAX_FILE_CHARACTERS) {
			findings.add(Finding.error(name, 0, "", "file is larger than " + MAX_FILE_CHARACTERS + " characters"));
			return;
		}
		LoaderOptions options = new LoaderOptions();
		options.setCodePointLimit(MAX_FILE_CHARACTERS);
		try {
			for (Node node : new Yaml(options).composeAll(new StringReader(text))) {
				parseDocument(name, node, templates, organisations, findings);
			}
		}
		catch (MarkedYAMLException ex) {
			int line = (ex.getProblemMark() != null) ? ex.getProblemMark().getLine() + 1 : 0;
			findings.add(Finding.error(name, line, "", "not valid YAML: " + ex.getProblem()));
		}
		catch (org.yaml.snakeyaml.error.YAMLException ex) {
			findings.add(Finding.error(name, 0, "", "not valid YAML: " + ex.getMessage()));
		}
	}

	private static void parseDocument(String name, Node node, List<Located<ServiceTemplate>> templates,
			List<Located<OrganisationParameters>> organisations, List<Finding> findings) {
		int line = node.getStartMark().getLine() + 1;
		Set<String> keys = keysOf(node);
		MappingReader reader = new MappingReader(name, "", node, findings);
		if (keys.contains("template")) {
			parseTemplate(reader).ifPresent((value) -> templates.add(new Located<>(value, name, line)));
		}
		else if (keys.contains("organisation")) {
			organisation(reader).ifPresent((value) -> organisations.add(new Located<>(value, name, line)));
		}
		else {
			findings.add(Finding.error(name, line, "",
					"expected a document with the field 'template' or the field 'organisation'"));
		}
	}

	private static Set<String> keysOf(Node node) {
		Set<String> keys = new HashSet<>();
		if (node instanceof MappingNode mapping) {
			mapping.getValue().forEach((tuple) -> {
				if (tuple.getKeyNode() instanceof ScalarNode scalar) {
					keys.add(scalar.getValue());
				}
			});
		}
		return keys;
	}

	private static Optional<ServiceTemplate> parseTemplate(MappingReader reader) {
		Optional<ServiceId> service = reader.readRequired("template", ServiceId::of);
		Optional<ServiceTemplate.Kind> kind = reader.readRequired("kind", RevisionParser::parseKind);
		Optional<Map<PriorityClass, ClassTarget>> classes = classes(reader);
		Optional<PlacementLimits> limits = (kind.isPresent() && kind.get() == ServiceTemplate.Kind.PLAIN_SERVICE)
				? Optional.of(new PlacementLimits(1, 1, 1)) : parseLimits(reader);
		List<PathRule> paths = new ArrayList<>();
		for (MappingReader path : reader.readMappings("paths")) {
			parsePathRule(path).ifPresent(paths::add);
		}
		reader.reportUnknownFields();
		if (service.isEmpty() || kind.isEmpty() || classes.isEmpty() || limits.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new ServiceTemplate(service.get(), kind.get(), classes.get(), limits.get(), paths));
	}

	private static ServiceTemplate.Kind parseKind(String text) {
		return switch (text) {
			case "model-engine" -> ServiceTemplate.Kind.MODEL_ENGINE;
			case "plain-service" -> ServiceTemplate.Kind.PLAIN_SERVICE;
			default -> throw new IllegalArgumentException(
					"unknown kind '" + text + "', expected model-engine or plain-service");
		};
	}

	private static Optional<Map<PriorityClass, ClassTarget>> classes(MappingReader reader) {
		Optional<MappingReader> mapping = reader.readMapping("classes");
		if (mapping.isEmpty()) {
			return Optional.empty();
		}
		Map<PriorityClass, ClassTarget> classes = new EnumMap<>(PriorityClass.class);
		for (PriorityClass priority : PriorityClass.values()) {
			mapping.get()
				.readMapping(priority.toLabel())
				.flatMap(RevisionParser::parseClassTarget)
				.ifPresent((target) -> classes.put(priority, target));
		}
		mapping.get().reportUnknownFields();
		return (classes.size() == PriorityClass.values().length) ? Optional.of(classes) : Optional.empty();
	}

	private static Optional<ClassTarget> parseClassTarget(MappingReader reader) {
		Optional<java.time.Duration> firstToken = reader.readRequired("first-token",
				RevisionParser::parsePositiveDuration);
		Optional<java.time.Duration> betweenTokens = reader.readRequired("between-tokens",
				RevisionParser::parsePositiveDuration);
		Optional<java.time.Duration> deadline = reader.readRequired("deadline", RevisionParser::parsePositiveDuration);
		Optional<Double> value = reader.readRequired("value", RevisionParser::parsePositiveNumber);
		Optional<Double> weight = reader.readRequired("weight", RevisionParser::parsePositiveNumber);
		Optional<Double> floor = reader.readOptional("floor", 0.0, RevisionParser::parseFraction);
		reader.reportUnknownFields();
		if (firstToken.isEmpty() || betweenTokens.isEmpty() || deadline.isEmpty() || value.isEmpty() || weight.isEmpty()
				|| floor.isEmpty()) {
			return Optional.empty();
		}
		if (deadline.get().compareTo(firstToken.get()) < 0) {
			reader.addError("deadline", "the deadline must not be shorter than the first-token target");
			return Optional.empty();
		}
		return Optional.of(new ClassTarget(firstToken.get(), betweenTokens.get(), deadline.get(), value.get(),
				weight.get(), floor.get()));
	}

	private static Optional<PlacementLimits> parseLimits(MappingReader reader) {
		Optional<MappingReader> mapping = reader.readMapping("weight-store");
		if (mapping.isEmpty()) {
			return Optional.empty();
		}
		Optional<Double> loads = mapping.get().readRequired("loads-per-second", RevisionParser::parsePositiveNumber);
		Optional<Integer> atOnce = mapping.get().readRequired("loads-at-once", RevisionParser::parsePositiveInteger);
		Optional<Integer> inTransit = mapping.get()
			.readRequired("adapters-in-transit", RevisionParser::parsePositiveInteger);
		mapping.get().reportUnknownFields();
		if (loads.isEmpty() || atOnce.isEmpty() || inTransit.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new PlacementLimits(loads.get(), atOnce.get(), inTransit.get()));
	}

	private static Optional<PathRule> parsePathRule(MappingReader reader) {
		Optional<String> method = reader.readRequired("method", (text) -> text.toUpperCase(Locale.ROOT));
		Optional<String> path = reader.readRequired("path", RevisionParser::parseAbsolutePath);
		Optional<Boolean> idempotent = reader.readRequired("idempotent", RevisionParser::parseBoolean);
		reader.reportUnknownFields();
		if (method.isEmpty() || path.isEmpty() || idempotent.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new PathRule(method.get(), path.get(), idempotent.get()));
	}

	private static Optional<OrganisationParameters> organisation(MappingReader reader) {
		Optional<OrganisationId> organisation = reader.readRequired("organisation", OrganisationId::of);
		Optional<ServiceId> service = reader.readRequired("service", ServiceId::of);
		Optional<Double> weight = reader.readOptional("weight", 1.0, RevisionParser::parsePositiveNumber);
		List<PriorityClass> classes = reader.readScalars("classes", PriorityClass::parse);
		List<String> keyHashes = reader.readScalars("key-hashes", RevisionParser::parseKeyHash);
		Optional<Integer> percent = reader.readOptional("new-system-percent", 100, RevisionParser::parsePercent);
		List<ModelSpec> models = new ArrayList<>();
		reader.readMappings("models").forEach((model) -> model(model).ifPresent(models::add));
		reader.readMappings("adapters").forEach((adapter) -> parseAdapter(adapter).ifPresent(models::add));
		reader.reportUnknownFields();
		if (classes.isEmpty()) {
			reader.addError("classes", "give at least one of urgent, normal, batch");
		}
		if (keyHashes.isEmpty()) {
			reader.addWarning("key-hashes",
					"no API key is configured, so all requests of the organisation are refused");
		}
		if (organisation.isEmpty() || service.isEmpty() || weight.isEmpty() || percent.isEmpty() || classes.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new OrganisationParameters(organisation.get(), service.get(), weight.get(), models,
				EnumSet.copyOf(classes), new HashSet<>(keyHashes), percent.get()));
	}

	private static Optional<ModelSpec> model(MappingReader reader) {
		Optional<ModelId> id = reader.readRequired("id", ModelId::of);
		Optional<Long> size = reader.readRequired("size", RevisionParser::parsePositiveBytes);
		Optional<Integer> min = reader.readOptional("min-replicas", 1, RevisionParser::parsePositiveInteger);
		Optional<Integer> max = reader.readOptional("max-replicas", Math.max(64, min.orElse(1)),
				RevisionParser::parsePositiveInteger);
		reader.reportUnknownFields();
		if (id.isEmpty() || size.isEmpty() || min.isEmpty() || max.isEmpty()) {
			return Optional.empty();
		}
		if (max.get() < min.get()) {
			reader.addError("max-replicas", "max-replicas must not be less than min-replicas (" + min.get() + ")");
			return Optional.empty();
		}
		return Optional.of(new ModelSpec(id.get(), size.get(), Optional.empty(), min.get(), max.get()));
	}

	private static Optional<ModelSpec> parseAdapter(MappingReader reader) {
		Optional<ModelId> id = reader.readRequired("id", ModelId::of);
		Optional<ModelId> base = reader.readRequired("base", ModelId::of);
		Optional<Long> size = reader.readRequired("size", RevisionParser::parsePositiveBytes);
		reader.reportUnknownFields();
		if (id.isEmpty() || base.isEmpty() || size.isEmpty()) {
			return Optional.empty();
		}
		return Optional.of(new ModelSpec(id.get(), size.get(), base, 1, Integer.MAX_VALUE));
	}

	private static java.time.Duration parsePositiveDuration(String text) {
		java.time.Duration duration = Quantities.parseDuration(text);
		if (duration.isZero()) {
			throw new IllegalArgumentException("the duration must be positive");
		}
		return duration;
	}

	private static long parsePositiveBytes(String text) {
		long bytes = Quantities.parseBytes(text);
		if (bytes == 0) {
			throw new IllegalArgumentException("the size must be positive");
		}
		return bytes;
	}

	private static double parsePositiveNumber(String text) {
		double number = Double.parseDouble(text);
		if (!(number > 0) || Double.isInfinite(number)) {
			throw new IllegalArgumentException("'" + text + "' must be a positive number");
		}
		return number;
	}

	private static int parsePositiveInteger(String text) {
		int number = Integer.parseInt(text);
		if (number < 1) {
			throw new IllegalArgumentException("'" + text + "' must be at least 1");
		}
		return number;
	}

	private static double parseFraction(String text) {
		double number = Double.parseDouble(text);
		if (!(number >= 0 && number <= 1)) {
			throw new IllegalArgumentException("'" + text + "' must be between 0 and 1");
		}
		return number;
	}

	private static int parsePercent(String text) {
		int number = Integer.parseInt(text);
		if (number < 0 || number > 100) {
			throw new IllegalArgumentException("'" + text + "' must be between 0 and 100");
		}
		return number;
	}

	private static boolean parseBoolean(String text) {
		return switch (text) {
			case "true" -> true;
			case "false" -> false;
			default -> throw new IllegalArgumentException("'" + text + "' must be true or false");
		};
	}

	private static String parseAbsolutePath(String text) {
		if (!text.startsWith("/")) {
			throw new IllegalArgumentException("'" + text + "' must start with /");
		}
		return text;
	}

	private static String parseKeyHash(String text) {
		if (!SHA_256_DIGEST.matcher(text).matches()) {
			throw new IllegalArgumentException("'" + text + "' is not a SHA-256 digest in lower-case hexadecimal; "
					+ "make one with 'celeryhill hash-key'");
		}
		return text;
	}

	/**
	 * A parsed value with its location.
	 *
	 * @param value the parsed value
	 * @param source the name of the file
	 * @param line the first line of the YAML document, starting from 1
	 */
	record Located<T>(T value, String source, int line) {

	}

}
