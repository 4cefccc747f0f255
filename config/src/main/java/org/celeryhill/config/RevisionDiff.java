package org.celeryhill.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Computes the field-by-field difference between two revisions. Stateless and
 * thread-safe.
 */
public final class RevisionDiff {

	private RevisionDiff() {
	}

	/**
	 * Returns the changes that lead from one revision to another.
	 * @param before the earlier revision, not null
	 * @param after the later revision, not null
	 * @return the changes ordered by path, never null, empty if only the number differs
	 */
	public static List<Change> between(Revision before, Revision after) {
		Map<String, String> oldFields = flatten(Objects.requireNonNull(before, "before"));
		Map<String, String> newFields = flatten(Objects.requireNonNull(after, "after"));
		TreeSet<String> paths = new TreeSet<>(oldFields.keySet());
		paths.addAll(newFields.keySet());
		List<Change> changes = new ArrayList<>();
		for (String path : paths) {
			String oldValue = oldFields.getOrDefault(path, "");
			String newValue = newFields.getOrDefault(path, "");
			if (!oldValue.equals(newValue)) {
				changes.add(new Change(path, oldValue, newValue));
			}
		}
		return changes;
	}

	private static Map<String, String> flatten(Revision revision) {
		Map<String, String> fields = new TreeMap<>();
		for (ServiceTemplate template : revision.templates()) {
			String path = "template/" + template.service();
			fields.put(path + "/kind", template.kind().name());
			template.classes()
				.forEach((priority, target) -> putTarget(fields, path + "/" + priority.toLabel(), target));
			fields.put(path + "/weight-store", template.limits().toString());
			template.paths()
				.forEach((rule) -> fields.put(path + "/paths/" + rule.method() + " " + rule.path(),
						"idempotent=" + rule.isIdempotent()));
		}
		for (OrganisationParameters parameters : revision.organisations()) {
			String path = "organisation/" + parameters.organisation() + "/" + parameters.service();
			fields.put(path + "/weight", String.valueOf(parameters.weight()));
			fields.put(path + "/classes", parameters.classes().toString());
			fields.put(path + "/new-system-percent", String.valueOf(parameters.newSystemPercent()));
			parameters.keyHashes()
				.forEach((hash) -> fields.put(path + "/key-hashes/" + hash.substring(0, 8), "present"));
			parameters.models().forEach((model) -> fields.put(path + "/models/" + model.id(), describeModel(model)));
		}
		return fields;
	}

	private static void putTarget(Map<String, String> fields, String path, ClassTarget target) {
		fields.put(path + "/first-token", target.firstToken().toMillis() + "ms");
		fields.put(path + "/between-tokens", target.betweenTokens().toMillis() + "ms");
		fields.put(path + "/deadline", target.deadline().toMillis() + "ms");
		fields.put(path + "/value", String.valueOf(target.value()));
		fields.put(path + "/weight", String.valueOf(target.weight()));
		fields.put(path + "/floor", String.valueOf(target.floor()));
	}

	private static String describeModel(ModelSpec model) {
		String base = model.base().map((id) -> " base=" + id).orElse("");
		return "bytes=" + model.bytes() + base + " replicas=" + model.minReplicas() + ".." + model.maxReplicas();
	}

	/**
	 * Change of one field.
	 *
	 * @param path the path of the field, not null
	 * @param before the old value, empty if the field is new, not null
	 * @param after the new value, empty if the field was removed, not null
	 */
	public record Change(String path, String before, String after) {

		/** Creates a change. */
		public Change {
			Objects.requireNonNull(path, "path");
			Objects.requireNonNull(before, "before");
			Objects.requireNonNull(after, "after");
		}

		@Override
		public String toString() {
			if (this.before.isEmpty()) {
				return "+ " + this.path + ": " + this.after;
			}
			if (this.after.isEmpty()) {
				return "- " + this.path + ": " + this.before;
			}
			return "~ " + this.path + ": " + this.before + " -> " + this.after;
		}

	}

}
