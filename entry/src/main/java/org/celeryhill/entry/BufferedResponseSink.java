package org.celeryhill.entry;

import java.util.Objects;

/**
 * Collects the response of a request without streaming and sends it once it is complete.
 */
final class BufferedResponseSink implements ResponseSink {

	/** Exchange with the caller. */
	private final ApiExchange exchange;

	/** Encodes the response document. */
	private final ResponseEncoder encoder;

	/** Text received so far. */
	private final StringBuilder text = new StringBuilder();

	BufferedResponseSink(ApiExchange exchange, ResponseEncoder encoder) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.encoder = Objects.requireNonNull(encoder, "encoder");
	}

	@Override
	public void token(EventId position, String token) {
		this.text.append(token);
	}

	@Override
	public void complete(EventId position, String finishReason) {
		this.exchange.respondJson(200, this.encoder.toDocument(this.text.toString(), position.offset(), finishReason));
	}

	@Override
	public void fail(ApiError error) {
		this.exchange.respondError(error);
	}

	@Override
	public void handOver(EventId position) {
		throw new IllegalStateException("a response without streaming cannot be handed over");
	}

	@Override
	public boolean isResumable() {
		return false;
	}

}
