package org.celeryhill.edge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.quota.QuotaAnswer;
import org.celeryhill.quota.QuotaGrant;
import org.celeryhill.quota.QuotaReport;

/**
 * Encodes and decodes the reports and answers about quotas. An organisation is an array,
 * since heartbeats contain many.
 */
final class QuotaMessages {

	/** Shares are sent in millionths, rounded down. */
	private static final double SHARE_SCALE = 1e6;

	private QuotaMessages() {
	}

	static ObjectNode encodeReport(QuotaReport report) {
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		node.put("host", report.host()).put("term", report.term()).put("sequence", report.sequence());
		if (report.isWhole()) {
			node.put("isWhole", true);
		}
		if (!report.entries().isEmpty()) {
			ArrayNode entries = node.putArray("entries");
			for (QuotaReport.Entry entry : report.entries()) {
				ArrayNode values = entries.addArray().add(entry.organisation().value()).add(entry.admitted());
				addGrant(values, entry.grant());
				values.add(entry.largest()).add(entry.need()).add(entry.first());
				values.add(entry.requested() - entry.admitted());
			}
		}
		return node;
	}

	static QuotaReport decodeReport(JsonNode node) {
		List<QuotaReport.Entry> entries = new ArrayList<>();
		for (JsonNode values : node.path("entries")) {
			long admitted = values.path(1).asLong();
			// Hosts of an earlier version do not tell what was requested and not
			// admitted.
			long requested = admitted + values.path(8).asLong();
			entries.add(new QuotaReport.Entry(OrganisationId.of(values.path(0).asText()), requested, admitted,
					decodeGrant(values, 2), values.path(5).asLong(), values.path(6).asLong(), values.path(7).asLong()));
		}
		return new QuotaReport(node.path("host").asText(), node.path("term").asLong(), node.path("sequence").asLong(),
				node.path("isWhole").asBoolean(), entries);
	}

	static ObjectNode encodeAnswer(QuotaAnswer answer) {
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		node.put("term", answer.term()).put("sequence", answer.sequence());
		if (answer.isWholeNeeded()) {
			node.put("isWholeNeeded", true);
		}
		if (!answer.entries().isEmpty()) {
			ArrayNode entries = node.putArray("entries");
			for (QuotaAnswer.Entry entry : answer.entries()) {
				ArrayNode values = entries.addArray().add(entry.organisation().value());
				addGrant(values, entry.grant());
				values.add(toMillis(entry.retryAfter()));
			}
		}
		return node;
	}

	static QuotaAnswer decodeAnswer(JsonNode node) {
		List<QuotaAnswer.Entry> entries = new ArrayList<>();
		for (JsonNode values : node.path("entries")) {
			entries.add(new QuotaAnswer.Entry(OrganisationId.of(values.path(0).asText()), decodeGrant(values, 1),
					Duration.ofMillis(values.path(4).asLong())));
		}
		return new QuotaAnswer(node.path("term").asLong(), node.path("sequence").asLong(),
				node.path("isWholeNeeded").asBoolean(), entries);
	}

	private static void addGrant(ArrayNode values, QuotaGrant grant) {
		values.add(grant.ceiling()).add(grant.isLoan() ? 1 : 0).add((long) (grant.share() * SHARE_SCALE));
	}

	private static QuotaGrant decodeGrant(JsonNode values, int index) {
		return new QuotaGrant(values.path(index).asLong(), values.path(index + 1).asInt() == 1,
				values.path(index + 2).asLong() / SHARE_SCALE);
	}

	// Rounds up, so that a rejection is not taken for an admission.
	private static long toMillis(Duration time) {
		return time.plusNanos(999_999).toMillis();
	}

}
