package org.celeryhill.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.celeryhill.soak.ServerBehaviour.Copy;
import org.celeryhill.soak.ServerBehaviour.Framing;
import org.celeryhill.soak.ServerBehaviour.Outcome;

/**
 * Connection of a daemon to a backend server. Serves one request at a time, on the thread
 * that calls {@link #serve()}; late copies are written by other threads.
 */
final class ServerConnection {

	private static final int MISDIRECTED = 421;

	private static final int BAD_REQUEST = 400;

	private static final int CONFLICT = 409;

	/** Status of a run whose response no caller may get. */
	private static final int NO_STATUS = 0;

	private static final int EVENT_GAP_MILLIS = 3;

	private final BackendServer server;

	/** Closed when this incarnation of the server has ended. */
	private final ServerSocket listener;

	private final Socket socket;

	private final String name;

	private final RequestLedger ledger;

	/** Copy that is sent when the next request has been read, empty for none. */
	private byte[] pendingCopy = {};

	/** Whether a copy of an earlier response is or may be on the way. */
	private boolean hasCopies;

	ServerConnection(BackendServer server, ServerSocket listener, Socket socket, String name) {
		this.server = server;
		this.listener = listener;
		this.socket = socket;
		this.name = name;
		this.ledger = server.context().ledger();
	}

	/**
	 * Serves requests until the connection ends.
	 */
	void serve() {
		Optional<RequestRecord> last = Optional.empty();
		try (this.socket) {
			this.socket.setTcpNoDelay(true);
			HttpReader reader = new HttpReader(this.socket.getInputStream());
			for (HttpHead head = reader.readHead(); head != null; head = reader.readHead()) {
				byte[] body = reader.readBody(head);
				last = this.ledger.find(head.header(Wire.ATTEMPT_ID));
				write(this.pendingCopy);
				this.pendingCopy = new byte[0];
				if (!respond(head, body)) {
					return;
				}
			}
		}
		catch (IOException ex) {
			// The daemon has closed the connection, or the server has ended. In the
			// latter
			// case the reset may also discard a response that was written.
			if (this.listener.isClosed()) {
				last.ifPresent(RequestRecord::setServerUnsound);
			}
		}
	}

	// Returns whether the connection can be used for another request.
	private boolean respond(HttpHead head, byte[] body) throws IOException {
		String id = head.header(Wire.ATTEMPT_ID);
		if (head.target().equals(Wire.HEALTH_PATH)) {
			write(ResponseWriter.encodeHealth(this.server.id()));
			return true;
		}
		if (head.target().equals(Wire.REPORT_PATH)) {
			write(ResponseWriter.encodeReport(this.server.entry()));
			return true;
		}
		if (head.target().equals(Wire.ORDER_PATH)) {
			// Another order is in progress, so that the engine keeps its model.
			write(ResponseWriter.encodeRefusal(id, CONFLICT));
			return true;
		}
		if (id.isEmpty()) {
			write(ResponseWriter.encodeRefusal(id, BAD_REQUEST));
			return true;
		}
		Optional<RequestRecord> known = this.ledger.find(id);
		int arrival = known.map(RequestRecord::addArrival).orElse(0);
		if (!head.header(Wire.EXPECT_INSTANCE).equals(this.server.id())) {
			addEvent(known, "misdirected to " + this.name);
			write(ResponseWriter.encodeRefusal(id, MISDIRECTED));
			return true;
		}
		ServerBehaviour behaviour = this.server.drawBehaviour(id, arrival);
		boolean isSound = behaviour.outcome() == Outcome.RUN || behaviour.outcome() == Outcome.REFUSE;
		if (!isSound || this.hasCopies) {
			known.ifPresent(RequestRecord::setServerUnsound);
		}
		return switch (behaviour.outcome()) {
			case REFUSE -> refuse(id, known, behaviour);
			case RESET_BEFORE_RUN -> {
				addEvent(known, "reset before a run at " + this.name);
				yield reset();
			}
			default -> run(head, body, behaviour);
		};
	}

	private boolean refuse(String id, Optional<RequestRecord> known, ServerBehaviour behaviour) throws IOException {
		addEvent(known, "refused with " + behaviour.status() + " at " + this.name + ", copy " + behaviour.copy());
		byte[] response = ResponseWriter.encodeRefusal(id, behaviour.status());
		writeTwice(response, response, behaviour.copy());
		return true;
	}

	private void addEvent(Optional<RequestRecord> known, String event) {
		known.ifPresent((one) -> one.addEvent(this.server.context().clock().seconds(), event));
	}

	private boolean run(HttpHead head, byte[] body, ServerBehaviour behaviour) throws IOException {
		String id = head.header(Wire.ATTEMPT_ID);
		String signature = this.server.nextSignature();
		byte[] responseBody = body(id, signature, behaviour.bodyBytes());
		Run run = new Run(this.name, signature, behaviour.status(), BodyDigest.of(responseBody), behaviour);
		CallerRequest read = new CallerRequest(id, head.method(), head.target(), BodyDigest.of(body));
		PlantedFault planted = this.server.context().planted();
		if (planted == PlantedFault.OTHER_TARGET) {
			read = new CallerRequest(id, read.method(), read.target() + "&planted", read.body());
		}
		this.ledger.addRun(read, reported(run, planted));
		if (planted == PlantedFault.SECOND_RUN) {
			this.ledger.addRun(read, run);
		}
		Threads.sleep(behaviour.workMillis());
		if (planted == PlantedFault.FALSE_REFUSAL) {
			write(ResponseWriter.encodeRefusal(id, 503));
			return true;
		}
		List<byte[]> parts = isStream(read, run) ? ResponseWriter.encodeStream(id, run, events(head))
				: List.of(ResponseWriter.encodeRun(id, run, responseBody));
		return send((behaviour.outcome() == Outcome.MALFORM) ? malform(parts, behaviour) : parts, behaviour);
	}

	private static List<byte[]> malform(List<byte[]> parts, ServerBehaviour behaviour) {
		List<byte[]> changed = new ArrayList<>(parts);
		changed.set(0, MalformedHead.draw(behaviour.part()).apply(parts.get(0)));
		return changed;
	}

	private static boolean isStream(CallerRequest request, Run run) {
		return request.kind().isStream() && run.status() / 100 == 2;
	}

	private List<byte[]> events(HttpHead head) throws IOException {
		String last = head.header(Wire.LAST_EVENT_ID);
		int from = last.isEmpty() ? 1 : Integer.parseInt(last) + 1;
		List<byte[]> events = EventStream.events(head.header(Wire.ATTEMPT_ID), from, EventStream.count(head.target()));
		if (this.server.context().planted() == PlantedFault.MISSING_EVENT && events.size() > 2) {
			events.remove(1);
		}
		return events;
	}

	private boolean send(List<byte[]> parts, ServerBehaviour behaviour) throws IOException {
		byte[] response = join(parts);
		switch (behaviour.outcome()) {
			case RESET_AFTER_RUN -> {
				return reset();
			}
			case TRUNCATE -> {
				writeParts(parts, 1 + (int) (behaviour.part() * (response.length - 1)));
				return reset();
			}
			default -> {
				int lastLength = parts.get(parts.size() - 1).length;
				writeParts(parts, response.length - lastLength);
				writeTwice(parts.get(parts.size() - 1), response, behaviour.copy());
				return parts.size() > 1 || behaviour.framing() != Framing.CLOSE;
			}
		}
	}

	private static byte[] join(List<byte[]> parts) {
		ByteArrayOutputStream all = new ByteArrayOutputStream();
		parts.forEach(all::writeBytes);
		return all.toByteArray();
	}

	// Writes the parts one after another, until the limit of their bytes.
	private void writeParts(List<byte[]> parts, int limit) throws IOException {
		int left = limit;
		for (byte[] part : parts) {
			if (left <= 0) {
				return;
			}
			write(Arrays.copyOf(part, Math.min(left, part.length)));
			left -= part.length;
			Threads.sleep(EVENT_GAP_MILLIS);
		}
	}

	private static Run reported(Run run, PlantedFault planted) {
		if (run.behaviour().outcome() == Outcome.MALFORM) {
			return new Run(run.connection(), run.signature(), NO_STATUS, run.body(), run.behaviour());
		}
		return switch (planted) {
			case OTHER_BODY ->
				new Run(run.connection(), run.signature(), run.status(), BodyDigest.of(new byte[1]), run.behaviour());
			case OTHER_STATUS ->
				new Run(run.connection(), run.signature(), run.status() + 1, run.body(), run.behaviour());
			default -> run;
		};
	}

	private static byte[] body(String id, String signature, int fillBytes) {
		byte[] start = (id + " " + signature + " ").getBytes(StandardCharsets.US_ASCII);
		byte[] body = Arrays.copyOf(start, start.length + fillBytes);
		for (int i = start.length; i < body.length; i++) {
			body[i] = start[i % start.length];
		}
		return body;
	}

	// Writes the last part of a response, and the whole response again.
	private void writeTwice(byte[] lastPart, byte[] response, Copy copy) throws IOException {
		byte[] copied = (copy.bytes() < response.length) ? Arrays.copyOf(response, copy.bytes()) : response;
		this.hasCopies |= copy != Copy.NONE;
		switch (copy.time()) {
			case AT_ONCE -> write(join(List.of(lastPart, copied)));
			case LATER -> {
				write(lastPart);
				Threads.start(this.name, () -> writeLate(copied, copy.delayMillis()));
			}
			case WITH_NEXT -> {
				write(lastPart);
				this.pendingCopy = copied;
			}
			default -> write(lastPart);
		}
	}

	private void writeLate(byte[] copied, long delayMillis) {
		Threads.sleep(delayMillis);
		try {
			write(copied);
		}
		catch (IOException ex) {
			// The connection has ended in the meantime.
		}
	}

	private void write(byte[] bytes) throws IOException {
		synchronized (this.socket) {
			OutputStream out = this.socket.getOutputStream();
			out.write(bytes);
		}
	}

	private boolean reset() throws IOException {
		this.socket.setSoLinger(true, 0);
		return false;
	}

}
