package org.celeryhill.config;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Stream;

import org.celeryhill.base.Finding;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.ServiceId;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link RevisionParser} and {@link RevisionDiff}.
 */
class RevisionParserTests {

	private static Map<String, String> readExample(String name) throws IOException {
		Map<String, String> files = new TreeMap<>();
		try (Stream<Path> paths = Files.list(Path.of("..", "examples", name))) {
			for (Path path : paths.toList()) {
				files.put(path.getFileName().toString(), Files.readString(path));
			}
		}
		return files;
	}

	private static List<String> parseErrors(Map<String, String> files) {
		return RevisionParser.parse(new RevisionDocument(0, files))
			.findings()
			.stream()
			.filter(Finding::isError)
			.map(Finding::toString)
			.toList();
	}

	/** Guards against examples named in the documentation that cannot be applied. */
	@ParameterizedTest
	@ValueSource(strings = { "cooperative", "office", "demo" })
	void examplesAreValid(String name) throws IOException {
		ParsedRevision parsed = RevisionParser.parse(new RevisionDocument(7, readExample(name)));
		assertThat(parsed.findings()).isEmpty();
		assertThat(parsed.revision()).map(Revision::number).contains(7L);
	}

	/** Guards against values that are read from the wrong field. */
	@Test
	void readsFieldsOfTemplatesAndParameters() throws IOException {
		Revision revision = RevisionParser.parse(new RevisionDocument(1, readExample("cooperative"))).revision().get();
		ServiceTemplate template = revision.findTemplate(ServiceId.of("beater-llm")).get();
		assertThat(template.limits()).isEqualTo(new PlacementLimits(1.5, 11, 90));
		assertThat(template.classes().get(PriorityClass.URGENT).firstToken()).hasMillis(390);
		assertThat(template.classes().get(PriorityClass.BATCH).floor()).isEqualTo(0.05);
		OrganisationParameters mill = revision
			.findParameters(OrganisationId.of("mill-a"), ModelId.of("mill-a/furnish@1"))
			.get();
		assertThat(mill.models()).hasSize(29);
		assertThat(mill.models().get(0).bytes()).isEqualTo(16L << 30);
		assertThat(revision.findTemplate(ServiceId.of("dispatch")).get().isIdempotent("POST", "/lots/7/release"))
			.isFalse();
		assertThat(revision.findTemplate(ServiceId.of("dispatch")).get().isIdempotent("GET", "/lots/7")).isTrue();
		assertThat(revision.findTemplate(ServiceId.of("dispatch")).get().isIdempotent("POST", "/other")).isFalse();
	}

	/**
	 * Guards against a parser that stops at the first error, or reports a finding with
	 * the wrong file, line or path.
	 */
	@Test
	void allFindingsAreReportedWithTheirPlace() throws IOException {
		Map<String, String> files = readExample("demo");
		files.computeIfPresent("mill-a.yaml",
				(name, text) -> text.replace("weight: 1\n", "weight: heavy\n").replace("200MiB", "200 apples"));
		files.computeIfPresent("beater-llm.yaml", (name, text) -> text.replace("kind: model-engine", "kind: engine"));
		files.put("broken.yaml", "organisation: [\n");
		files.put("strange.yaml", "colour: red\n");
		assertThat(parseErrors(files)).containsExactlyInAnyOrder(
				"beater-llm.yaml:3 kind: error: unknown kind 'engine', expected model-engine or plain-service",
				"broken.yaml:2: error: not valid YAML: expected the node content, but found '<stream end>'",
				"mill-a.yaml:4 weight: error: 'heavy' is not a number of the expected kind",
				"mill-a.yaml:13 adapters[0].size: error: '200 apples' is not a size such as 16GiB or 200MB",
				"mill-a.yaml:17 weight: error: 'heavy' is not a number of the expected kind",
				"mill-b.yaml:2 service: error: no template for service 'beater-llm'; templates: dispatch",
				"strange.yaml:1: error: expected a document with the field 'template' or the field 'organisation'");
	}

	/** Guards against a misspelt field that is ignored without an error. */
	@Test
	void unknownFieldIsAnError() throws IOException {
		Map<String, String> files = readExample("demo");
		files.computeIfPresent("mill-a.yaml", (name, text) -> text.replaceFirst("weight: 1", "wieght: 1"));
		assertThat(parseErrors(files)).singleElement()
			.asString()
			.contains("mill-a.yaml:4 wieght: error: unknown field");
	}

	/** Guards against two organisations that share a model id or an API key. */
	@Test
	void modelsAndKeysBelongToOneOrganisation() throws IOException {
		Map<String, String> files = readExample("demo");
		files.computeIfPresent("mill-b.yaml",
				(name, text) -> files.get("mill-a.yaml").replace("organisation: mill-a", "organisation: mill-b"));
		assertThat(parseErrors(files)).hasSize(5)
			.anyMatch((text) -> text.contains("model 'mill-a/furnish@1' is already given for 'mill-a'"))
			.anyMatch((text) -> text.contains("belongs to organisation 'mill-a' too"));
	}

	/** Guards against a difference that omits a changed field. */
	@Test
	void differenceNamesEachChangedField() throws IOException {
		Map<String, String> files = readExample("demo");
		Revision before = RevisionParser.parse(new RevisionDocument(1, files)).revision().get();
		files.computeIfPresent("mill-a.yaml",
				(name, text) -> text.replaceFirst("new-system-percent: 100", "new-system-percent: 40"));
		Revision after = RevisionParser.parse(new RevisionDocument(2, files)).revision().get();
		assertThat(RevisionDiff.between(before, after)).extracting(RevisionDiff.Change::toString)
			.containsExactly("~ organisation/mill-a/beater-llm/new-system-percent: 100 -> 40");
	}

}
