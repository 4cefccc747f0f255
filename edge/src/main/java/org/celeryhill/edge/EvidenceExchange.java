package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.forward.PromptGuard;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.traffic.CrashEvidence;
import org.celeryhill.traffic.PromptQuarantine;

/**
 * Exchanges the evidence against prompt parts with each host that answers a heartbeat, so
 * that all hosts get it whether or not one of them holds the lease. A message holds what
 * the other host does not have yet. Must be used on the event loop.
 */
final class EvidenceExchange {

	private static final int MAX_ITEMS = 32;

	/** Hosts whose position in the exchange is kept. */
	private static final int MAX_POSITIONS = 16;

	/** Age from which on evidence is not accepted. */
	private static final Duration MAX_AGE = Duration.ofMinutes(10);

	private final Map<InetSocketAddress, Position> positions = new LinkedHashMap<>(16, 0.75f, true) {
		@Override
		protected boolean removeEldestEntry(Map.Entry<InetSocketAddress, Position> eldest) {
			return size() > MAX_POSITIONS;
		}
	};

	private final String incarnation = UUID.randomUUID().toString().substring(0, 8);

	private final PromptGuard guard;

	EvidenceExchange(PromptGuard guard) {
		this.guard = guard;
	}

	// Returns the part of a heartbeat that is sent to a host, without the fields that
	// have
	// their default.
	ObjectNode encodeRequest(InetSocketAddress target) {
		PromptQuarantine quarantine = this.guard.quarantine();
		Position position = this.positions.getOrDefault(target, new Position("", 0, quarantine.newestNumber()));
		ObjectNode node = encodeItems(position.sent());
		if (!position.incarnation().isEmpty()) {
			node.put("known", position.incarnation()).put("seen", position.received());
		}
		if (quarantine.digest() != 0) {
			node.put("digest", quarantine.digest());
		}
		return node;
	}

	// Takes the evidence of a heartbeat and returns the part of its response, empty if
	// neither host has any.
	Optional<ObjectNode> answer(JsonNode request) {
		decodeItems(request);
		PromptQuarantine quarantine = this.guard.quarantine();
		if (quarantine.newestNumber() == 0 && request.isEmpty()) {
			return Optional.empty();
		}
		boolean isPositionKnown = request.path("known").asText().equals(this.incarnation);
		boolean isEqual = request.path("digest").asLong() == quarantine.digest();
		long first = isEqual ? quarantine.newestNumber() : 0;
		ObjectNode node = encodeItems(isPositionKnown ? request.path("seen").asLong() : first);
		node.put("incarnation", this.incarnation);
		node.put("isAllNeeded", !isPositionKnown && !isEqual);
		return Optional.of(node);
	}

	// Takes the response of a host to a heartbeat. Returns whether the host lacks
	// evidence
	// of this one.
	boolean handleResponse(InetSocketAddress target, JsonNode request, JsonNode reply) {
		if (!reply.isObject()) {
			return false;
		}
		decodeItems(reply);
		boolean isAllNeeded = reply.path("isAllNeeded").asBoolean();
		long sent = isAllNeeded ? 0 : request.path("newest").asLong();
		this.positions.put(target,
				new Position(reply.path("incarnation").asText(), reply.path("newest").asLong(), sent));
		return isAllNeeded;
	}

	private ObjectNode encodeItems(long after) {
		PromptQuarantine quarantine = this.guard.quarantine();
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		if (quarantine.newestNumber() == 0) {
			return node;
		}
		List<PromptQuarantine.Numbered> items = quarantine.evidenceAfter(after, MAX_ITEMS);
		boolean isWhole = items.size() < MAX_ITEMS;
		node.put("newest", isWhole ? quarantine.newestNumber() : items.get(items.size() - 1).number());
		if (!items.isEmpty()) {
			ArrayNode list = node.putArray("items");
			long now = System.nanoTime();
			items.forEach((item) -> list.add(encode(item.evidence(), now)));
		}
		return node;
	}

	private static ObjectNode encode(CrashEvidence evidence, long now) {
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		node.put("ageMillis", TimeUnit.NANOSECONDS.toMillis(now - evidence.nanos()));
		if (evidence instanceof CrashEvidence.Crash crash) {
			node.put("server", crash.server());
			ArrayNode candidates = node.putArray("candidates");
			crash.candidates().forEach((parts) -> encodeParts(candidates.addArray(), parts));
			encodeParts(node.putArray("repeatedParts"), crash.repeatedParts());
		}
		else if (evidence instanceof CrashEvidence.Success success) {
			node.put("part", Long.toHexString(success.part()));
		}
		return node;
	}

	private static void encodeParts(ArrayNode list, Iterable<Long> parts) {
		parts.forEach((part) -> list.add(Long.toHexString(part)));
	}

	private void decodeItems(JsonNode node) {
		long now = System.nanoTime();
		List<CrashEvidence> evidence = new ArrayList<>();
		for (JsonNode item : node.path("items")) {
			long ageMillis = Math.max(0, item.path("ageMillis").asLong());
			if (ageMillis < MAX_AGE.toMillis()) {
				evidence.add(decode(item, now - TimeUnit.MILLISECONDS.toNanos(ageMillis)));
			}
		}
		this.guard.addFromPeer(evidence);
	}

	private static CrashEvidence decode(JsonNode node, long nanos) {
		if (!node.has("server")) {
			return new CrashEvidence.Success(parsePart(node.path("part")), nanos);
		}
		Set<List<Long>> candidates = new HashSet<>();
		for (JsonNode candidate : node.path("candidates")) {
			candidates.add(List.copyOf(decodeParts(candidate, new ArrayList<>())));
		}
		Set<Long> repeatedParts = decodeParts(node.path("repeatedParts"), new HashSet<>());
		return new CrashEvidence.Crash(node.path("server").asText(), candidates, repeatedParts, nanos);
	}

	private static <T extends Collection<Long>> T decodeParts(JsonNode list, T parts) {
		for (JsonNode part : list) {
			parts.add(parsePart(part));
		}
		return parts;
	}

	private static long parsePart(JsonNode node) {
		return Long.parseUnsignedLong(node.asText(), 16);
	}

	/**
	 * How far the exchange with another host has come.
	 *
	 * @param incarnation identifies the process of the other host, empty if unknown
	 * @param received the number of its newest evidence that this host has
	 * @param sent the number of the newest evidence of this host that it has
	 */
	private record Position(String incarnation, long received, long sent) {
	}

}
