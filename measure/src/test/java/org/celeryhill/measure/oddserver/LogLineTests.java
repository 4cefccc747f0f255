package org.celeryhill.measure.oddserver;

import org.celeryhill.base.EventLog;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the parser of log lines.
 */
class LogLineTests {

	/** Guards against causes of failures that are cut off at blanks or quotes. */
	@Test
	void parsesWhatEventLogWrites() {
		LogLine line = LogLine.parse(EventLog.format("attempt_failed", "connection", "12.3", "cause",
				"connection failed: \"a=b\" \\ c", "events", 0, "empty", ""));
		assertThat(line.event()).isEqualTo("attempt_failed");
		assertThat(line.text("connection")).isEqualTo("12.3");
		assertThat(line.text("cause")).isEqualTo("connection failed: \"a=b\" \\ c");
		assertThat(line.number("events")).isZero();
		assertThat(line.text("empty")).isEmpty();
		assertThat(line.text("missing")).isEmpty();
	}

}
