package org.celeryhill.base;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

/**
 * Tests for {@link EventLog}.
 */
class EventLogTests {

	/**
	 * Guards against values with blanks or line ends that split one event into several.
	 */
	@Test
	void valuesThatNeedItAreQuoted() {
		assertThat(EventLog.format("refused", "reason", "a \"b\"\nc", "count", 3, "empty", ""))
			.isEqualTo("event=refused reason=\"a \\\"b\\\"\\nc\" count=3 empty=\"\"");
	}

	/** Guards against an event whose pairs are shifted by a missing value. */
	@Test
	void keyWithoutValueIsRejected() {
		assertThatIllegalArgumentException().isThrownBy(() -> EventLog.format("refused", "reason"));
	}

}
