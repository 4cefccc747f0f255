package org.celeryhill.cli;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Log lines about one request, selected from the logs of several edge daemons: the lines
 * with its id, and lines shortly before, during and after it about its model, its backend
 * servers and the control of placement. Immutable and thread-safe.
 */
final class RequestHistory {

	/** Covers the load of a model from the weight store, which can take this long. */
	private static final Duration CONTEXT_BEFORE = Duration.ofSeconds(10);

	/** How long after the last line of the request context is selected. */
	private static final Duration CONTEXT_AFTER = Duration.ofSeconds(5);

	/** Events that are context if they concern the model of the request. */
	private static final Set<String> MODEL_EVENTS = Set.of("command_decided", "command_settled", "command_not_settled",
			"model_retiring", "model_unserved");

	/** Events that are context if they concern a backend server of the request. */
	private static final Set<String> SERVER_EVENTS = Set.of("server_left", "server_draining", "server_restarted",
			"server_doubtful", "server_seen", "server_suspected", "server_readmitted");

	/**
	 * Events of the lease, the store, the daemons and the quarantine of prompt parts,
	 * which are context of any request.
	 */
	private static final Set<String> CONTROL_EVENTS = Set.of("lease_expired", "lease_lost", "lease_granted",
			"lease_released", "placement_active", "store_lost", "store_regained", "store_relayed", "store_relay_failed",
			"pause_suspected", "edge_starting", "edge_stopping", "responses_broken", "prompt_part_quarantined",
			"prompt_part_released", "prompt_part_probed");

	/** Lines with the id of the request, in order of time. */
	private final List<LogLine> requestLines;

	/** Related lines without the id of the request, in order of time. */
	private final List<LogLine> contextLines;

	private RequestHistory(List<LogLine> requestLines, List<LogLine> contextLines) {
		this.requestLines = requestLines;
		this.contextLines = contextLines;
	}

	/**
	 * Selects the lines about a request.
	 * @param lines the lines of all logs, in any order
	 * @param request the id of the request, with or without the sequence number after the
	 * dot
	 * @return the selected lines, empty if no line has the id
	 */
	static RequestHistory select(List<LogLine> lines, String request) {
		List<LogLine> sorted = new ArrayList<>(lines);
		sorted.sort(Comparator.comparing(LogLine::time));
		List<LogLine> requestLines = sorted.stream().filter((line) -> belongsTo(line, request)).toList();
		if (requestLines.isEmpty()) {
			return new RequestHistory(requestLines, List.of());
		}
		Instant from = requestLines.get(0).time().minus(CONTEXT_BEFORE);
		Instant to = requestLines.get(requestLines.size() - 1).time().plus(CONTEXT_AFTER);
		Set<String> models = new HashSet<>();
		Set<String> servers = new HashSet<>();
		requestLines.forEach((line) -> {
			line.field("model").map((model) -> model.split("/")[0]).ifPresent(models::add);
			line.field("server").ifPresent(servers::add);
		});
		List<LogLine> contextLines = sorted.stream()
			.filter((line) -> !line.time().isBefore(from) && !line.time().isAfter(to))
			.filter((line) -> isContext(line, models, servers))
			.toList();
		return new RequestHistory(requestLines, contextLines);
	}

	private static boolean belongsTo(LogLine line, String request) {
		return line.field("request").filter((id) -> id.equals(request) || id.startsWith(request + ".")).isPresent();
	}

	private static boolean isContext(LogLine line, Set<String> models, Set<String> servers) {
		boolean concernsModel = MODEL_EVENTS.contains(line.event())
				&& (models.contains(line.field("model").orElse("")) || models.stream()
					.anyMatch((model) -> line.field("reason").orElse("").startsWith("room_for_" + model)));
		boolean concernsServer = SERVER_EVENTS.contains(line.event())
				&& servers.contains(line.field("server").orElse(""));
		return concernsModel || concernsServer || CONTROL_EVENTS.contains(line.event());
	}

	boolean isEmpty() {
		return this.requestLines.isEmpty();
	}

	List<LogLine> requestLines() {
		return this.requestLines;
	}

	List<LogLine> contextLines() {
		return this.contextLines;
	}

	/**
	 * Describes the outcome of the request in one or two sentences.
	 * @return the description
	 */
	String summarize() {
		Optional<LogLine> refused = lastLine("request_refused");
		if (refused.isPresent()) {
			return "Refused with " + refused.get().field("status").orElse("?") + " before it was queued ("
					+ refused.get().field("reason").orElse("?") + ", configuration version "
					+ refused.get().field("version").orElse("?") + "). No backend server has seen it.";
		}
		Optional<LogLine> ended = lastLine("request_ended");
		if (ended.isEmpty()) {
			return "The logs do not show its end: they stop earlier, or the process was killed.";
		}
		String status = ended.get().field("status").orElse("?");
		String reason = ended.get().field("reason").orElse("?");
		String sends = ended.get().field("sends").orElse("?");
		String text = "Ended with " + (status.equals("0") ? "a broken connection" : "status " + status) + " after "
				+ ended.get().field("ms").orElse("?") + " ms and " + sends + " sends: " + describeReason(reason) + ".";
		if (sends.equals("0")) {
			text += " No backend server has seen it.";
		}
		else if (status.equals("502") || status.equals("504") || status.equals("0")) {
			text += " The backend server may have run it.";
		}
		return text;
	}

	private Optional<LogLine> lastLine(String event) {
		return this.requestLines.stream()
			.filter((line) -> line.event().equals(event))
			.reduce((first, second) -> second);
	}

	private static String describeReason(String reason) {
		if (reason.startsWith("stream_not_resumed:")) {
			return "its stream broke and was not resumed because "
					+ describeReason(reason.substring(reason.indexOf(':') + 1));
		}
		return switch (reason) {
			case "complete" -> "the backend server's response was forwarded completely";
			case "model_absent" ->
				"no engine held its model or would have loaded it in time; see the commands for the model";
			case "prompt_quarantined" -> "a part of its prompt ends the backend servers that work on it";
			case "DEADLINE" -> "the queue for its model was too long to meet its target";
			case "NO_BACKEND" -> "no usable backend server was known for it";
			case "RETRIES_EXHAUSTED" -> "the retry budget was exhausted";
			case "adapter_not_loaded" -> "its adapter could not be loaded in time";
			case "no_configuration" -> "the host had not received a configuration yet";
			case "caller_left" -> "the caller closed the connection";
			case "timeout" -> "the backend server did not respond within the timeout of the route";
			case "broken" -> "the connection to the backend server ended before the response was complete";
			default -> reason;
		};
	}

}
