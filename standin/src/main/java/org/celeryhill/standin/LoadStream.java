package org.celeryhill.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import io.undertow.util.HeaderMap;
import org.celeryhill.http.Json;
import org.celeryhill.http.StreamListener;

/**
 * Response listener of one request of a load run. Called by a single I/O thread.
 */
final class LoadStream implements StreamListener {

	/** Results that the request is recorded in. */
	private final LoadResults results;

	/** Number of tokens of a complete stream. */
	private final int expectedTokens;

	/** Scheduled start of the request, in monotonic nanoseconds. */
	private final long scheduledNanos;

	/** Callback that runs once when the stream has ended or failed. */
	private final Runnable onDone;

	/** Bytes of the current line, or of the whole body if the status is not 200. */
	private final ByteArrayOutputStream line = new ByteArrayOutputStream(512);

	/** HTTP status, 0 until the response head arrives. */
	private int status;

	/** Number of tokens received. */
	private int tokens;

	/** Time of the last token, in monotonic nanoseconds. */
	private long lastTokenNanos;

	/** Whether the end marker has arrived. */
	private boolean isEndReceived;

	/** Code of an error event, null if there was none. */
	private String errorCode;

	/** Whether the next data line belongs to an error event. */
	private boolean isErrorEvent;

	LoadStream(LoadResults results, int expectedTokens, long scheduledNanos, Runnable onDone) {
		this.results = results;
		this.expectedTokens = expectedTokens;
		this.scheduledNanos = scheduledNanos;
		this.onDone = onDone;
	}

	@Override
	public void onHead(int code, HeaderMap headers) {
		this.status = code;
	}

	@Override
	public void onBytes(ByteBuffer bytes) {
		while (bytes.hasRemaining()) {
			byte b = bytes.get();
			if (b != '\n' || this.status != 200) {
				this.line.write(b);
				continue;
			}
			parseLine(this.line.toString(StandardCharsets.UTF_8));
			this.line.reset();
		}
	}

	private void parseLine(String text) {
		if (text.startsWith("event:token") || text.contains("\"delta\":{\"content\"")) {
			recordToken();
		}
		else if (text.startsWith("event:end") || text.startsWith("data: [DONE]")) {
			this.isEndReceived = true;
		}
		else if (text.startsWith("event: ")) {
			this.isErrorEvent = true;
			this.errorCode = text.substring("event: ".length());
		}
		else if (this.isErrorEvent && text.startsWith("data: ")) {
			this.isErrorEvent = false;
			String code = Json.readErrorCode(text.substring("data: ".length()).getBytes(StandardCharsets.UTF_8));
			this.errorCode += "/" + code;
		}
	}

	private void recordToken() {
		long now = System.nanoTime();
		if (this.tokens == 0) {
			this.results.firstToken(now - this.scheduledNanos);
		}
		else {
			this.results.nextToken(now - this.lastTokenNanos);
		}
		this.tokens++;
		this.lastTokenNanos = now;
	}

	@Override
	public void onEnd() {
		if (this.status != 200) {
			this.results.recordError(this.status + "/" + Json.readErrorCode(this.line.toByteArray()));
		}
		else if (this.errorCode != null) {
			this.results.recordError(this.errorCode);
		}
		else if (this.isEndReceived && this.tokens == this.expectedTokens) {
			this.results.recordComplete();
		}
		else {
			this.results.recordIncomplete();
		}
		this.onDone.run();
	}

	@Override
	public void onFailure(IOException cause, boolean isSent) {
		if (this.tokens > 0) {
			this.results.recordIncomplete();
		}
		else {
			this.results.recordError(isSent ? "broken" : "not_sent");
		}
		this.onDone.run();
	}

}
