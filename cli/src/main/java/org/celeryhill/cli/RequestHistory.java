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
 * What the logs of several edge daemons say of one request: its own lines, and those of
 * the time around it that concern its model, its backend servers and the placement.
 * Immutable and thread-safe.
 */
final class RequestHistory {

	/** A load from the weight store takes up to about this long. */
	private static final Duration BEFORE = Duration.ofSeconds(10);

	private static final Duration AFTER = Duration.ofSeconds(5);

	private static final Set<String> MODEL_EVENTS = Set.of("command_decided", "command_settled", "command_not_settled",
			"model_retiring");

	private static final Set<String> SERVER_EVENTS = Set.of("server_left", "server_draining", "server_restarted",
			"server_doubtful", "server_seen");

	private static final Set<String> CONTROL_EVENTS = Set.of("lease_expired", "lease_lost", "lease_granted",
			"lease_released", "placement_active", "store_lost", "store_regained", "store_relayed", "pause_suspected",
			"edge_starting", "edge_stopping");

	/** Lines of the request, in order of time. */
	private final List<LogLine> own;

	/** Lines of the time around it, in order of time. */
	private final List<LogLine> around;

	private RequestHistory(List<LogLine> own, List<LogLine> around) {
		this.own = own;
		this.around = around;
	}

	// Selects the lines of a request; its id may be given without the running number.
	static RequestHistory of(List<LogLine> lines, String request) {
		List<LogLine> sorted = new ArrayList<>(lines);
		sorted.sort(Comparator.comparing(LogLine::time));
		List<LogLine> own = sorted.stream().filter((line) -> isOf(line, request)).toList();
		if (own.isEmpty()) {
			return new RequestHistory(own, List.of());
		}
		Instant from = own.get(0).time().minus(BEFORE);
		Instant to = own.get(own.size() - 1).time().plus(AFTER);
		Set<String> models = new HashSet<>();
		Set<String> servers = new HashSet<>();
		own.forEach((line) -> {
			line.field("model").map((model) -> model.split("/")[0]).ifPresent(models::add);
			line.field("server").ifPresent(servers::add);
		});
		List<LogLine> around = sorted.stream()
			.filter((line) -> !line.time().isBefore(from) && !line.time().isAfter(to))
			.filter((line) -> concerns(line, models, servers))
			.toList();
		return new RequestHistory(own, around);
	}

	private static boolean isOf(LogLine line, String request) {
		return line.field("request").filter((id) -> id.equals(request) || id.startsWith(request + ".")).isPresent();
	}

	private static boolean concerns(LogLine line, Set<String> models, Set<String> servers) {
		boolean isOfModel = MODEL_EVENTS.contains(line.event())
				&& (models.contains(line.field("model").orElse("")) || models.stream()
					.anyMatch((model) -> line.field("reason").orElse("").startsWith("room_for_" + model)));
		boolean isOfServer = SERVER_EVENTS.contains(line.event()) && servers.contains(line.field("server").orElse(""));
		return isOfModel || isOfServer || CONTROL_EVENTS.contains(line.event());
	}

	boolean isEmpty() {
		return this.own.isEmpty();
	}

	List<LogLine> own() {
		return this.own;
	}

	List<LogLine> around() {
		return this.around;
	}

	// Returns what happened to the request, in a sentence or two.
	String summary() {
		Optional<LogLine> refused = last("request_refused");
		if (refused.isPresent()) {
			return "Refused with " + refused.get().field("status").orElse("?") + " before it was queued ("
					+ refused.get().field("reason").orElse("?") + ", configuration version "
					+ refused.get().field("version").orElse("?") + "). No backend server has seen it.";
		}
		Optional<LogLine> ended = last("request_ended");
		if (ended.isEmpty()) {
			return "It has not ended: the log stops before, or its process was killed.";
		}
		String status = ended.get().field("status").orElse("?");
		String reason = ended.get().field("reason").orElse("?");
		String sends = ended.get().field("sends").orElse("?");
		String text = "Ended with " + (status.equals("0") ? "a broken connection" : "status " + status) + " after "
				+ ended.get().field("ms").orElse("?") + " ms and " + sends + " sends: " + meaning(reason) + ".";
		if (sends.equals("0")) {
			text += " No backend server has seen it.";
		}
		else if (status.equals("502") || status.equals("504") || status.equals("0")) {
			text += " The backend server may have run it.";
		}
		return text;
	}

	private Optional<LogLine> last(String event) {
		return this.own.stream().filter((line) -> line.event().equals(event)).reduce((first, second) -> second);
	}

	private static String meaning(String reason) {
		if (reason.startsWith("stream_not_resumed:")) {
			return "its stream broke and was not resumed, as " + meaning(reason.substring(reason.indexOf(':') + 1));
		}
		return switch (reason) {
			case "complete" -> "the backend server's answer was passed on whole";
			case "model_absent" -> "no engine held its model or would in time; see the commands for the model";
			case "DEADLINE" -> "the queue for its model was too long for its target";
			case "NO_BACKEND" -> "no usable backend server was known for it";
			case "RETRIES_EXHAUSTED" -> "the budget of second sends was used up";
			case "adapter_not_loaded" -> "its adapter could not be loaded in time";
			case "no_configuration" -> "the host knew no configuration yet";
			case "caller_left" -> "the caller closed the connection";
			case "timeout" -> "the backend server gave no answer within the route's time";
			case "broken" -> "the connection to the backend server ended before the answer was whole";
			default -> reason;
		};
	}

}
