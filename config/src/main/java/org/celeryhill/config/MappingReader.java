package org.celeryhill.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import org.celeryhill.base.Finding;
import org.yaml.snakeyaml.nodes.MappingNode;
import org.yaml.snakeyaml.nodes.Node;
import org.yaml.snakeyaml.nodes.NodeTuple;
import org.yaml.snakeyaml.nodes.ScalarNode;
import org.yaml.snakeyaml.nodes.SequenceNode;

/**
 * Reads the fields of one YAML mapping and collects a finding with file, line and path
 * for each field that is missing, malformed, repeated or unknown. Not thread-safe.
 */
final class MappingReader {

	/** File name for findings. */
	private final String source;

	/** Path of this mapping for findings, empty at the top. */
	private final String path;

	/** Line of this mapping for findings. */
	private final int line;

	/** Values by key. */
	private final Map<String, Node> fields = new LinkedHashMap<>();

	/** Keys that were asked for. */
	private final Set<String> readKeys = new HashSet<>();

	/** Where findings go. */
	private final List<Finding> findings;

	MappingReader(String source, String path, Node node, List<Finding> findings) {
		this.source = source;
		this.path = path;
		this.line = lineOf(node);
		this.findings = findings;
		if (node instanceof MappingNode mapping) {
			mapping.getValue().forEach(this::addField);
		}
		else {
			findings.add(Finding.error(source, this.line, path, "expected a mapping of fields"));
		}
	}

	private void addField(NodeTuple tuple) {
		String key = (tuple.getKeyNode() instanceof ScalarNode scalar) ? scalar.getValue() : "?";
		if (this.fields.put(key, tuple.getValueNode()) != null) {
			addError(tuple.getKeyNode(), key, "the field is given twice; keep one");
		}
	}

	private static int lineOf(Node node) {
		return node.getStartMark().getLine() + 1;
	}

	private String pathOf(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private void addError(Node place, String key, String message) {
		int at = (place != null) ? lineOf(place) : this.line;
		this.findings.add(Finding.error(this.source, at, pathOf(key), message));
	}

	boolean has(String key) {
		return this.fields.containsKey(key);
	}

	/**
	 * Adds an error at a field, or at the mapping if the field is absent.
	 * @param key the field
	 * @param message what is wrong and what to do
	 */
	void addError(String key, String message) {
		addError(this.fields.get(key), key, message);
	}

	/**
	 * Adds a warning at a field, or at the mapping if the field is absent.
	 * @param key the field
	 * @param message what is doubtful and what to do
	 */
	void addWarning(String key, String message) {
		Node place = this.fields.get(key);
		int at = (place != null) ? lineOf(place) : this.line;
		this.findings.add(Finding.warning(this.source, at, pathOf(key), message));
	}

	/**
	 * Reads a required scalar.
	 * @param key the field
	 * @param parser turns the text into the value; an {@link IllegalArgumentException}
	 * becomes a finding with its message
	 * @param <T> the type of the value
	 * @return the value, empty after a finding
	 */
	<T> Optional<T> readRequired(String key, Function<String, T> parser) {
		this.readKeys.add(key);
		Node node = this.fields.get(key);
		if (node == null) {
			addError(null, key, "the field is missing");
			return Optional.empty();
		}
		return readScalar(key, node, parser);
	}

	/**
	 * Reads an optional scalar.
	 * @param key the field
	 * @param fallback the value of an absent field
	 * @param parser as for {@link #readRequired}
	 * @param <T> the type of the value
	 * @return the value, empty after a finding
	 */
	<T> Optional<T> readOptional(String key, T fallback, Function<String, T> parser) {
		this.readKeys.add(key);
		Node node = this.fields.get(key);
		return (node != null) ? readScalar(key, node, parser) : Optional.of(fallback);
	}

	private <T> Optional<T> readScalar(String key, Node node, Function<String, T> parser) {
		if (!(node instanceof ScalarNode scalar)) {
			addError(node, key, "expected a single value");
			return Optional.empty();
		}
		try {
			return Optional.of(parser.apply(scalar.getValue()));
		}
		catch (NumberFormatException ex) {
			addError(node, key, "'" + scalar.getValue() + "' is not a number of the expected kind");
			return Optional.empty();
		}
		catch (IllegalArgumentException ex) {
			addError(node, key, ex.getMessage());
			return Optional.empty();
		}
	}

	/**
	 * Reads a list of scalars; an absent field is an empty list.
	 * @param key the field
	 * @param parser as for {@link #readRequired}
	 * @param <T> the type of the value
	 * @return the values without those that had a finding
	 */
	<T> List<T> readScalars(String key, Function<String, T> parser) {
		List<T> values = new ArrayList<>();
		List<Node> nodes = readItems(key);
		for (int i = 0; i < nodes.size(); i++) {
			readScalar(key + "[" + i + "]", nodes.get(i), parser).ifPresent(values::add);
		}
		return values;
	}

	/**
	 * Reads a list of mappings; an absent field is an empty list.
	 * @param key the field
	 * @return a reader for each item
	 */
	List<MappingReader> readMappings(String key) {
		List<MappingReader> readers = new ArrayList<>();
		List<Node> nodes = readItems(key);
		for (int i = 0; i < nodes.size(); i++) {
			readers.add(new MappingReader(this.source, pathOf(key + "[" + i + "]"), nodes.get(i), this.findings));
		}
		return readers;
	}

	/**
	 * Reads a required mapping.
	 * @param key the field
	 * @return the reader, empty after a finding
	 */
	Optional<MappingReader> readMapping(String key) {
		this.readKeys.add(key);
		Node node = this.fields.get(key);
		if (node == null) {
			addError(null, key, "the field is missing");
			return Optional.empty();
		}
		return Optional.of(new MappingReader(this.source, pathOf(key), node, this.findings));
	}

	private List<Node> readItems(String key) {
		this.readKeys.add(key);
		Node node = this.fields.get(key);
		if (node == null) {
			return List.of();
		}
		if (node instanceof SequenceNode sequence) {
			return sequence.getValue();
		}
		addError(node, key, "expected a list");
		return List.of();
	}

	/**
	 * Adds an error for each field that nobody asked for.
	 */
	void reportUnknownFields() {
		this.fields.forEach((key, node) -> {
			if (!this.readKeys.contains(key)) {
				addError(node, key,
						"unknown field; known here: " + String.join(", ", this.readKeys.stream().sorted().toList()));
			}
		});
	}

}
