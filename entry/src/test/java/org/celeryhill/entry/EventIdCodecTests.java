package org.celeryhill.entry;

import java.util.List;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.RequestId;
import org.celeryhill.state.ServingSystem;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of event ids and of the answer text that they describe.
 */
class EventIdCodecTests {

	private static final EventId ID = new EventId(RequestId.of("r-1"), OrganisationId.of("mill-a"),
			ModelId.of("mill-a/furnish@1"), ApiShape.CHAT, ServingSystem.NEW, BackendServerId.of("engine-1"),
			AttemptId.of("a-1"), 3, 17, -5, 99, 1_700_000_000, new byte[EventId.DIGEST_BYTES]);

	private final EventIdCodec codec = new EventIdCodec(List.of(new byte[16]));

	/** Guards against a field that is lost between daemons. */
	@Test
	void decodedIdIsEqual() {
		EventId decoded = this.codec.decode(this.codec.encode(ID)).orElseThrow();
		assertThat(decoded).usingRecursiveComparison().isEqualTo(ID);
	}

	/** Guards against positions that a caller made up or changed. */
	@Test
	void changedIdIsRejected() {
		String text = this.codec.encode(ID);
		for (int i = 0; i < text.length() - 1; i++) {
			char other = (text.charAt(i) == 'x') ? 'y' : 'x';
			assertThat(this.codec.decode(text.substring(0, i) + other + text.substring(i + 1))).isEmpty();
		}
		assertThat(this.codec.decode("")).isEmpty();
		assertThat(this.codec.decode("%%%")).isEmpty();
		assertThat(this.codec.decode("A".repeat(5000))).isEmpty();
	}

	/** Guards against streams that break when the key is changed. */
	@Test
	void oldKeyIsStillAccepted() {
		byte[] newKey = "a new key of the fleet".getBytes(java.nio.charset.StandardCharsets.UTF_8);
		assertThat(new EventIdCodec(List.of(newKey, new byte[16])).decode(this.codec.encode(ID))).isPresent();
		assertThat(new EventIdCodec(List.of(newKey)).decode(this.codec.encode(ID))).isEmpty();
	}

	/** Guards against splicing a repeated answer that differs from the delivered part. */
	@Test
	void repeatedAnswerIsComparedBeforeItGoesOn() {
		AnswerText first = AnswerText.empty();
		first.append(0, "roll");
		first.append(1, " gap");
		first.restart();
		assertThat(first.append(0, "roll")).isEqualTo(AnswerText.Step.HIDDEN);
		assertThat(first.append(1, " felt")).isEqualTo(AnswerText.Step.DIVERGED);
		first.restart();
		first.append(0, "roll");
		assertThat(first.append(1, " gap")).isEqualTo(AnswerText.Step.HIDDEN);
		assertThat(first.append(1, " gap")).isEqualTo(AnswerText.Step.REPEATED);
		assertThat(first.append(3, " vat")).isEqualTo(AnswerText.Step.GAP);
		assertThat(first.append(2, " vat")).isEqualTo(AnswerText.Step.DELIVER);
	}

}
