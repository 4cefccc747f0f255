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
 * Reads the fields of one YAML mapping and adds a finding with file, line and path for
 * each field that is missing, malformed, repeated or unknown. Not thread-safe.
 */
final class MappingReader {

	/** Name of the file, for findings. */
	private final String source;

	/** Path of this mapping in the file, for findings; empty at the top level. */
	private final String path;

	/** Line of this mapping, for findings. */
	private final int line;

	/** Value nodes by key. */
	private final Map<String, Node> fields = new LinkedHashMap<>();

	/** Keys that have been read; all others are unknown fields. */
	private final Set<String> readKeys = new HashSet<>();

	/** Receives the findings. */
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
			addError(tuple.getKeyNode(), key, "duplicate field; keep one of them");
		}
	}

	private static int lineOf(Node node) {
		return node.getStartMark().getLine() + 1;
	}

	private String pathOf(String key) {
		return this.path.isEmpty() ? key : this.path + "." + key;
	}

	private void addError(Node fieldNode, String key, String message) {
		int findingLine = (fieldNode != null) ? lineOf(fieldNode) : this.line;
		this.findings.add(Finding.error(this.source, findingLine, pathOf(key), message));
	}

	boolean has(String key) {
		return this.fields.containsKey(key);
	}

	/**
	 * Adds an error at a field, or at the mapping if the field is absent.
	 * @param key the key of the field
	 * @param message what is wrong and how to correct it
	 */
	void addError(String key, String message) {
		addError(this.fields.get(key), key, message);
	}

	/**
	 * Adds a warning at a field, or at the mapping if the field is absent.
	 * @param key the key of the field
	 * @param message what may be wrong and how to correct it
	 */
	void addWarning(String key, String message) {
		Node fieldNode = this.fields.get(key);
		int findingLine = (fieldNode != null) ? lineOf(fieldNode) : this.line;
		this.findings.add(Finding.warning(this.source, findingLine, pathOf(key), message));
	}

	/**
	 * Reads a required scalar.
	 * @param key the key of the field
	 * @param parser converts the text to the value; the message of an
	 * {@link IllegalArgumentException} becomes a finding
	 * @param <T> the type of the value
	 * @return the value, or empty if a finding was added
	 */
	<T> Optional<T> readRequired(String key, Function<String, T> parser) {
		this.readKeys.add(key);
		Node node = this.fields.get(key);
		if (node == null) {
			addError(null, key, "required field is missing");
			return Optional.empty();
		}
		return readScalar(key, node, parser);
	}

	/**
	 * Reads an optional scalar.
	 * @param key the key of the field
	 * @param fallback the value if the field is absent
	 * @param parser as for {@link #readRequired}
	 * @param <T> the type of the value
	 * @return the value, or empty if a finding was added
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
	 * Reads a list of scalars. An absent field is read as an empty list.
	 * @param key the key of the field
	 * @param parser as for {@link #readRequired}
	 * @param <T> the type of the values
	 * @return the values without those for which a finding was added
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
	 * Reads a list of mappings. An absent field is read as an empty list.
	 * @param key the key of the field
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
	 * @param key the key of the field
	 * @return the reader of the mapping, or empty if a finding was added
	 */
	Optional<MappingReader> readMapping(String key) {
		this.readKeys.add(key);
		Node node = this.fields.get(key);
		if (node == null) {
			addError(null, key, "required field is missing");
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
	 * Adds an error for each field that has not been read. To be called after all known
	 * fields have been read.
	 */
	void reportUnknownFields() {
		this.fields.forEach((key, node) -> {
			if (!this.readKeys.contains(key)) {
				addError(node, key,
						"unknown field; known fields: " + String.join(", ", this.readKeys.stream().sorted().toList()));
			}
		});
	}

}
