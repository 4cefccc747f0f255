package org.celeryhill.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests of the list of classes in the shared archive, which slows down each start without
 * a sign when it is stale.
 */
class ClassListTests {

	private static final Path LIST = Path.of("src/main/cds/edge.classes");

	@Test
	void namesOnlyClassesThatExist() throws IOException {
		List<String> names = Files.readAllLines(LIST)
			.stream()
			.filter((line) -> line.startsWith("org/celeryhill/"))
			.map((line) -> line.split(" ")[0].replace('/', '.'))
			.toList();
		assertThat(names).contains(EdgeMain.class.getName(), "org.celeryhill.forward.ForwardCall");
		for (String name : names) {
			assertThatCode(() -> Class.forName(name, false, getClass().getClassLoader()))
				.as("%s; bin/edge-classes writes the list anew", name)
				.doesNotThrowAnyException();
		}
	}

}
