package org.celeryhill.edge;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatCode;

/**
 * Tests of the list of classes in the class data sharing archive. A stale list silently
 * slows down each start.
 */
class ClassListTests {

	private static final Path LIST = Path.of("src/main/cds/edge.classes");

	@Test
	void listsOnlyExistingClasses() throws IOException {
		List<String> names = Files.readAllLines(LIST)
			.stream()
			.filter((line) -> line.startsWith("org/celeryhill/"))
			.map((line) -> line.split(" ")[0].replace('/', '.'))
			.toList();
		assertThat(names).contains(EdgeMain.class.getName(), "org.celeryhill.forward.ForwardCall");
		for (String name : names) {
			assertThatCode(() -> Class.forName(name, false, getClass().getClassLoader()))
				.as("%s; run bin/edge-classes to regenerate the list", name)
				.doesNotThrowAnyException();
		}
	}

}
