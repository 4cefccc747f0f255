package org.celeryhill.entry;

import java.util.Objects;

/**
 * Sends an answer as server-sent events. Until the first event an error is a plain error
 * answer with its status, afterwards it is an error event.
 */
final class SseSink implements AnswerSink {

	/** Exchange with the caller. */
	private final ApiExchange exchange;

	/** Writes events. */
	private final SseChannel channel;

	/** Form of the events. */
	private final AnswerFormat format;

	/** Signs event ids. */
	private final EventIdCodec codec;

	/** Writer for the current attempt, null before the first position. */
	private EventIdCodec.Writer writer;

	/** Whether the response is a stream already. */
	private boolean isStarted;

	SseSink(ApiExchange exchange, SseChannel channel, AnswerFormat format, EventIdCodec codec) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.channel = Objects.requireNonNull(channel, "channel");
		this.format = Objects.requireNonNull(format, "format");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	@Override
	public void token(EventId position, String text) {
		if (start()) {
			this.channel.write(this.format.token(encode(position), text, position.offset() == 1));
		}
	}

	@Override
	public void end(EventId position, String finishReason) {
		if (start()) {
			this.channel.write(this.format.finish(encode(position), finishReason));
			this.channel.write(AnswerFormat.DONE);
			this.channel.finish();
		}
	}

	@Override
	public void fail(ApiError error) {
		if (!this.isStarted) {
			this.exchange.error(error);
			return;
		}
		this.channel.write(this.format.error(error));
		this.channel.finish();
	}

	@Override
	public void handOver(EventId position) {
		if (start()) {
			this.channel.write(this.format.handOver(encode(position)));
			this.channel.finish();
		}
	}

	@Override
	public boolean isResumable() {
		return true;
	}

	private String encode(EventId position) {
		if (this.writer == null || !this.writer.isFor(position)) {
			this.writer = this.codec.writer(position);
		}
		return this.writer.encode(position);
	}

	private boolean start() {
		if (!this.isStarted) {
			this.isStarted = this.exchange.takeForStream();
		}
		return this.isStarted;
	}

}
