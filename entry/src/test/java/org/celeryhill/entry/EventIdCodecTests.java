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
 * Tests of event ids and of the comparison of repeated text.
 */
class EventIdCodecTests {

	private static final EventId ID = new EventId(RequestId.of("r-1"), OrganisationId.of("mill-a"),
			ModelId.of("mill-a/furnish@1"), ApiShape.CHAT, ServingSystem.NEW, BackendServerId.of("engine-1"),
			AttemptId.of("a-1"), 3, 17, -5, 99, 1_700_000_000, new byte[EventId.DIGEST_BYTES]);

	private final EventIdCodec codec = new EventIdCodec(List.of(new byte[16]));

	/** Guards against a field that is lost by encoding or decoding. */
	@Test
	void decodedIdIsEqual() {
		EventId decoded = this.codec.decode(this.codec.encode(ID)).orElseThrow();
		assertThat(decoded).usingRecursiveComparison().isEqualTo(ID);
	}

	/** Guards against accepting an event id that was forged or changed. */
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

	/** Guards against streams that cannot be resumed after the key was replaced. */
	@Test
	void oldKeyIsStillAccepted() {
		byte[] newKey = "a new key of the fleet".getBytes(java.nio.charset.StandardCharsets.UTF_8);
		assertThat(new EventIdCodec(List.of(newKey, new byte[16])).decode(this.codec.encode(ID))).isPresent();
		assertThat(new EventIdCodec(List.of(newKey)).decode(this.codec.encode(ID))).isEmpty();
	}

	/**
	 * Guards against continuing a response with repeated text that differs from the
	 * delivered text.
	 */
	@Test
	void repeatedTextIsComparedBeforeContinuing() {
		GeneratedText generatedText = GeneratedText.empty();
		generatedText.append(0, "roll");
		generatedText.append(1, " gap");
		generatedText.restart();
		assertThat(generatedText.append(0, "roll")).isEqualTo(GeneratedText.TokenAction.SUPPRESS);
		assertThat(generatedText.append(1, " felt")).isEqualTo(GeneratedText.TokenAction.DIVERGED);
		generatedText.restart();
		generatedText.append(0, "roll");
		assertThat(generatedText.append(1, " gap")).isEqualTo(GeneratedText.TokenAction.SUPPRESS);
		assertThat(generatedText.append(1, " gap")).isEqualTo(GeneratedText.TokenAction.DUPLICATE);
		assertThat(generatedText.append(3, " vat")).isEqualTo(GeneratedText.TokenAction.GAP);
		assertThat(generatedText.append(2, " vat")).isEqualTo(GeneratedText.TokenAction.DELIVER);
	}

}
