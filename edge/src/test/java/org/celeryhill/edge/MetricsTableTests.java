package org.celeryhill.edge;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the table of metrics that operators look up.
 */
class MetricsTableTests {

	private static final Path PAGE = Path.of("../docs/OPERATIONS.md");

	private static final Pattern ROW = Pattern
		.compile("(?m)^\\| `(celeryhill_[a-z_]+)(?:\\{[a-z,]+})?` \\| [^|]+ \\| [^|]+ \\|$");

	private static final Pattern SERVED = Pattern.compile("(?m)^# TYPE (celeryhill_[a-z_]+) ");

	private static Set<String> names(Pattern pattern, String text) {
		Set<String> names = new TreeSet<>();
		Matcher matcher = pattern.matcher(text);
		while (matcher.find()) {
			names.add(matcher.group(1));
		}
		return names;
	}

	// Guards against a metric without unit and meaning, and against one that is no longer
	// served.
	@Test
	void namesEachMetricThatIsServed() throws IOException {
		EdgeMetrics metrics = new EdgeMetrics();
		metrics.refused("reason");
		metrics.recordSend(true);
		metrics.recordEnd(200, 0.1);
		metrics.recordFirstEvent(0.1);
		metrics.command("load", "ACCEPTED");
		metrics.leaseHeld(true);
		Set<String> served = names(SERVED, new String(metrics.toText(), StandardCharsets.UTF_8));
		// The times at which series began come with each counter and histogram.
		served.removeIf((name) -> name.endsWith("_created"));
		assertThat(served).isNotEmpty().isEqualTo(names(ROW, Files.readString(PAGE)));
	}

}
