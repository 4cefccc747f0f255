package org.celeryhill.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import io.undertow.util.HeaderMap;
import org.celeryhill.http.Json;
import org.celeryhill.http.StreamListener;

/**
 * One stream of a load run. Runs on one I/O thread.
 */
final class LoadStream implements StreamListener {

	/** Results that this stream adds to. */
	private final LoadResults results;

	/** Tokens that a complete answer has. */
	private final int expectedTokens;

	/** Time at which the request should have been sent, monotonic nanoseconds. */
	private final long intendedNanos;

	/** Called once when the stream has ended. */
	private final Runnable onDone;

	/** Current line. */
	private final ByteArrayOutputStream line = new ByteArrayOutputStream(512);

	/** HTTP status, 0 before the head. */
	private int status;

	/** Tokens so far. */
	private int tokens;

	/** Time of the last token, monotonic nanoseconds. */
	private long lastNanos;

	/** Whether the end marker has arrived. */
	private boolean isWhole;

	/** Code of an error event, null if there was none. */
	private String errorCode;

	/** Whether the next data line belongs to an error event. */
	private boolean isErrorEvent;

	LoadStream(LoadResults results, int expectedTokens, long intendedNanos, Runnable onDone) {
		this.results = results;
		this.expectedTokens = expectedTokens;
		this.intendedNanos = intendedNanos;
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
			endLine(this.line.toString(StandardCharsets.UTF_8));
			this.line.reset();
		}
	}

	private void endLine(String text) {
		if (text.startsWith("event:token") || text.contains("\"delta\":{\"content\"")) {
			addToken();
		}
		else if (text.startsWith("event:end") || text.startsWith("data: [DONE]")) {
			this.isWhole = true;
		}
		else if (text.startsWith("event: ")) {
			this.isErrorEvent = true;
			this.errorCode = text.substring("event: ".length());
		}
		else if (this.isErrorEvent && text.startsWith("data: ")) {
			this.isErrorEvent = false;
			String code = Json.errorCode(text.substring("data: ".length()).getBytes(StandardCharsets.UTF_8));
			this.errorCode += "/" + code;
		}
	}

	private void addToken() {
		long now = System.nanoTime();
		if (this.tokens == 0) {
			this.results.firstToken(now - this.intendedNanos);
		}
		else {
			this.results.nextToken(now - this.lastNanos);
		}
		this.tokens++;
		this.lastNanos = now;
	}

	@Override
	public void onEnd() {
		if (this.status != 200) {
			this.results.error(this.status + "/" + Json.errorCode(this.line.toByteArray()));
		}
		else if (this.errorCode != null) {
			this.results.error(this.errorCode);
		}
		else if (this.isWhole && this.tokens == this.expectedTokens) {
			this.results.whole();
		}
		else {
			this.results.incomplete();
		}
		this.onDone.run();
	}

	@Override
	public void onFailure(IOException cause, boolean isSent) {
		if (this.tokens > 0) {
			this.results.incomplete();
		}
		else {
			this.results.error(isSent ? "broken" : "not_sent");
		}
		this.onDone.run();
	}

}
