package org.celeryhill.edge;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.quota.QuotaAnswer;
import org.celeryhill.quota.QuotaGrant;
import org.celeryhill.quota.QuotaReport;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the messages about quotas.
 */
class QuotaMessagesTests {

	private static final int ORGANISATIONS = 16;

	/** Size that ordinary operation may add to a heartbeat, in bytes. */
	private static final int MAX_BYTES = 300;

	private static QuotaReport report(boolean isWhole, int count) {
		List<QuotaReport.Entry> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(new QuotaReport.Entry(OrganisationId.of("organisation-" + i), 123_466_789, 123_456_789,
					new QuotaGrant(123_470_000, true, 0.011625), 6_900, 2_368, 200));
		}
		return new QuotaReport("edge-ege-a-17-a1b2c3d4", 18, 123_456, isWhole, entries);
	}

	private static QuotaAnswer answer(int count) {
		List<QuotaAnswer.Entry> entries = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			entries.add(new QuotaAnswer.Entry(OrganisationId.of("organisation-" + i),
					new QuotaGrant(123_470_000, false, 0.011625), Duration.ofMillis(40)));
		}
		return new QuotaAnswer(18, 123_456, false, entries);
	}

	private static JsonNode transfer(JsonNode node) throws Exception {
		return JsonHttpClient.MAPPER.readTree(node.toString().getBytes(StandardCharsets.UTF_8));
	}

	// Guards against a field that is lost on the way or read from the wrong place.
	@Test
	void messagesSurviveTransfer() throws Exception {
		QuotaReport report = report(true, 2);
		assertThat(QuotaMessages.decodeReport(transfer(QuotaMessages.encodeReport(report)))).isEqualTo(report);
		QuotaAnswer answer = answer(2);
		assertThat(QuotaMessages.decodeAnswer(transfer(QuotaMessages.encodeAnswer(answer)))).isEqualTo(answer);
		QuotaAnswer refusal = new QuotaAnswer(18, 4, true, List.of());
		assertThat(QuotaMessages.decodeAnswer(transfer(QuotaMessages.encodeAnswer(refusal)))).isEqualTo(refusal);
	}

	// Guards against heartbeats that grow with the number of organisations. A host sees
	// about two requests between two heartbeats.
	@Test
	void ordinaryHeartbeatGrowsLittle() {
		assertThat(QuotaMessages.encodeReport(report(false, 2)).toString().length()).isLessThan(MAX_BYTES);
		assertThat(QuotaMessages.encodeAnswer(answer(2)).toString().length()).isLessThan(MAX_BYTES);
	}

	// Guards against a first report that does not fit a packet or two.
	@Test
	void wholeReportIsBounded() {
		assertThat(QuotaMessages.encodeReport(report(true, ORGANISATIONS)).toString().length()).isLessThan(1400);
		assertThat(QuotaMessages.encodeAnswer(answer(ORGANISATIONS)).toString().length()).isLessThan(1400);
	}

}
