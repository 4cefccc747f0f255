package org.celeryhill.entry;

import java.util.Objects;

/**
 * Collects an answer and sends it only when it is whole.
 */
final class WholeAnswerSink implements AnswerSink {

	/** Exchange with the caller. */
	private final ApiExchange exchange;

	/** Form of the answer. */
	private final AnswerFormat format;

	/** Text so far. */
	private final StringBuilder text = new StringBuilder();

	WholeAnswerSink(ApiExchange exchange, AnswerFormat format) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.format = Objects.requireNonNull(format, "format");
	}

	@Override
	public void token(EventId position, String token) {
		this.text.append(token);
	}

	@Override
	public void end(EventId position, String finishReason) {
		this.exchange.json(200, this.format.whole(this.text.toString(), position.offset(), finishReason));
	}

	@Override
	public void fail(ApiError error) {
		this.exchange.error(error);
	}

	@Override
	public void handOver(EventId position) {
		throw new IllegalStateException("a complete answer cannot be handed over");
	}

	@Override
	public boolean isResumable() {
		return false;
	}

}
