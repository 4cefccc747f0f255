package org.celeryhill.base;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link EventLog}.
 */
class EventLogTests {

	/**
	 * Guards against one event being read as several because a value contains blanks or
	 * line breaks.
	 */
	@Test
	void quotesValuesWithSpecialCharacters() {
		assertThat(EventLog.format("refused", "reason", "a \"b\"\nc", "count", 3, "empty", ""))
			.isEqualTo("event=refused reason=\"a \\\"b\\\"\\nc\" count=3 empty=\"\"");
	}

	/** Guards against a missing value that makes the next key take its place. */
	@Test
	void rejectsKeyWithoutValue() {
		assertThatIllegalArgumentException().isThrownBy(() -> EventLog.format("refused", "reason"));
	}

}
