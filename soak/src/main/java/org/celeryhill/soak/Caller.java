package org.celeryhill.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.net.ProtocolException;
import java.net.SocketTimeoutException;
import java.util.SplittableRandom;
import java.util.function.BooleanSupplier;

/**
 * Caller that sends one request after another, either on a connection that it keeps until
 * it ends, or on a new connection for each request. Runs on its own thread.
 */
final class Caller implements Runnable {

	private static final double HOME_SHARE = 0.75;

	private static final double POST_SHARE = 0.7;

	private static final double CHUNKED_SHARE = 0.2;

	private static final double LEAVE_SHARE = 0.01;

	private static final int[] BODY_BYTES = { 0, 2, 300, 300, 5000, 30_000 };

	private static final int[] DEADLINES_MILLIS = { 1500, 4000, 4000 };

	private static final int MAX_EVENTS = 20;

	private static final int MAX_PAUSE_MILLIS = 30;

	private static final int PAUSE_AFTER_FAILED_CONNECT_MILLIS = 50;

	private final int index;

	private final Site site;

	private final Tally tally;

	private final CutCheck cuts;

	private final BooleanSupplier isEnding;

	private final SplittableRandom random;

	private final boolean isKeeping;

	private int requestCount;

	private CallerConnection connection;

	Caller(int index, Site site, Tally tally, CutCheck cuts, BooleanSupplier isEnding) {
		this.index = index;
		this.site = site;
		this.tally = tally;
		this.cuts = cuts;
		this.isEnding = isEnding;
		this.random = new SplittableRandom(site.context().seed() * 31 + index);
		this.isKeeping = index % 3 != 0;
	}

	@Override
	public void run() {
		while (!this.isEnding.getAsBoolean()) {
			if (connect()) {
				call();
			}
			else {
				this.tally.addFailedConnect();
				Threads.sleep(PAUSE_AFTER_FAILED_CONNECT_MILLIS);
			}
			Threads.sleep(this.random.nextInt(MAX_PAUSE_MILLIS));
		}
		disconnect();
	}

	private boolean connect() {
		if (this.connection != null) {
			return true;
		}
		int count = this.site.fleet().size();
		int target = (this.random.nextDouble() < HOME_SHARE) ? this.index : this.random.nextInt(count);
		if (this.site.context().planted() == PlantedFault.IDLE_DAEMON && target % count == 0) {
			target++;
		}
		try {
			this.connection = new CallerConnection(this.site.fleet().daemon(target));
			return true;
		}
		catch (IOException ex) {
			// The daemon is down or stopping.
			return false;
		}
	}

	private void disconnect() {
		if (this.connection != null) {
			this.connection.close();
			this.connection = null;
		}
	}

	private void call() {
		byte[] body = drawBody();
		CallerRequest request = drawRequest(body);
		this.tally.add(request.kind(), exchange(request, body));
	}

	private Outcome exchange(CallerRequest request, byte[] body) {
		EdgeProcess daemon = this.connection.daemon();
		RequestRecord sent = this.site.context().ledger().send(request, daemon.name());
		long sentNanos = this.site.clock().nanos();
		int deadline = DEADLINES_MILLIS[this.random.nextInt(DEADLINES_MILLIS.length)];
		boolean isChunked = this.random.nextDouble() < CHUNKED_SHARE;
		boolean isLeaving = this.random.nextDouble() < LEAVE_SHARE;
		try {
			this.connection.send(request, body, isChunked, deadline);
			if (isLeaving) {
				disconnect();
				return Outcome.LEFT;
			}
			Outcome outcome = receive(sent);
			if (outcome == Outcome.SUCCESS) {
				this.tally.addSuccess(daemon.name(), sentNanos);
			}
			return outcome;
		}
		catch (SocketTimeoutException ex) {
			disconnect();
			return Outcome.TIMED_OUT;
		}
		catch (ProtocolException ex) {
			this.site.context()
				.violations()
				.add(Promise.MIXED, "bytes that are no response (" + ex.getMessage() + ")", sent);
			disconnect();
			return Outcome.CUT;
		}
		catch (IOException ex) {
			sent.addEvent(this.site.clock().seconds(), "cut: " + ex);
			this.cuts.add(new CutCheck.Cut(sent, daemon, sentNanos, this.site.clock().nanos(), deadline,
					daemon.isStoppedSince(sentNanos)));
			disconnect();
			return Outcome.CUT;
		}
	}

	private byte[] drawBody() {
		boolean isPost = this.random.nextDouble() < POST_SHARE;
		byte[] body = new byte[isPost ? BODY_BYTES[this.random.nextInt(BODY_BYTES.length)] : 0];
		for (int i = 0; i < body.length; i++) {
			body[i] = (byte) this.random.nextInt();
		}
		return body;
	}

	private CallerRequest drawRequest(byte[] body) {
		String id = String.format("%06x%010x", this.index, this.requestCount++);
		RequestKind kind = RequestKind.values()[this.random.nextInt(RequestKind.values().length)];
		int events = 1 + this.random.nextInt(MAX_EVENTS);
		String target = kind.prefix() + "c" + this.index + "?n=" + this.requestCount
				+ (kind.isStream() ? EventStream.countParameter(events) : "");
		return new CallerRequest(id, (body.length > 0) ? "POST" : "GET", target, BodyDigest.of(body));
	}

	private Outcome receive(RequestRecord sent) throws IOException {
		HttpHead head = this.connection.readHead();
		while (head != null && head.status() / 100 == 1) {
			head = this.connection.readHead();
		}
		if (head == null) {
			throw new EOFException("connection ended without a response");
		}
		byte[] body = receiveBody(head, sent);
		PlantedFault planted = this.site.context().planted();
		if (planted == PlantedFault.LOST_RESPONSE && this.requestCount % 4 == 0) {
			throw new EOFException("planted");
		}
		CallerResponse response = (planted == PlantedFault.DENIAL)
				? new CallerResponse(404, "", BodyDigest.of(new byte[0]))
				: new CallerResponse(head.status(), head.header(Wire.SIGNATURE), BodyDigest.of(body));
		this.site.context().ledger().addResponse(sent, response);
		finishExchange(head, sent);
		return Outcome.of(response);
	}

	private byte[] receiveBody(HttpHead head, RequestRecord sent) throws IOException {
		ByteArrayOutputStream body = new ByteArrayOutputStream();
		boolean isStream = sent.request().kind().isStream() && head.status() / 100 == 2;
		boolean isEnded = false;
		try {
			this.connection.readBody(head, body);
			isEnded = true;
			return body.toByteArray();
		}
		finally {
			if (isStream) {
				checkEvents(sent, body.toByteArray(), isEnded);
			}
		}
	}

	private void checkEvents(RequestRecord sent, byte[] body, boolean isEnded) {
		CallerRequest request = sent.request();
		EventStream.check(request.id(), body, EventStream.count(request.target()), isEnded)
			.ifPresent((problem) -> this.site.context().violations().add(Promise.ORDER, problem, sent));
	}

	private void finishExchange(HttpHead head, RequestRecord sent) throws IOException {
		boolean isDelimitedByClose = !head.has("Content-Length") && !head.has("Transfer-Encoding");
		if (!isDelimitedByClose && this.connection.hasUnreadBytes()) {
			this.site.context().violations().add(Promise.MIXED, "bytes after the response", sent);
			disconnect();
			return;
		}
		if (!this.isKeeping || isDelimitedByClose || head.header("Connection").equalsIgnoreCase("close")) {
			disconnect();
		}
	}

}
