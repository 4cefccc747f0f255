package org.celeryhill.entry;

import java.util.Objects;

/**
 * Sends a response as server-sent events. An error before the first event is sent as an
 * error document with its HTTP status, a later one as an error event.
 */
final class SseResponseSink implements ResponseSink {

	/** Exchange with the caller. */
	private final ApiExchange exchange;

	/** Writes events. */
	private final SseChannel channel;

	/** Encodes the events. */
	private final ResponseEncoder encoder;

	/** Creates writers of event ids. */
	private final EventIdCodec codec;

	/** Writer of event ids for the current attempt, null before the first event. */
	private EventIdCodec.PositionWriter writer;

	/** Whether the response is reserved for this stream. */
	private boolean isStarted;

	SseResponseSink(ApiExchange exchange, SseChannel channel, ResponseEncoder encoder, EventIdCodec codec) {
		this.exchange = Objects.requireNonNull(exchange, "exchange");
		this.channel = Objects.requireNonNull(channel, "channel");
		this.encoder = Objects.requireNonNull(encoder, "encoder");
		this.codec = Objects.requireNonNull(codec, "codec");
	}

	@Override
	public void token(EventId position, String text) {
		if (tryStart()) {
			this.channel.enqueue(this.encoder.token(encodeEventId(position), text, position.offset() == 1));
		}
	}

	@Override
	public void complete(EventId position, String finishReason) {
		if (tryStart()) {
			this.channel.enqueue(this.encoder.finishEvent(encodeEventId(position), finishReason));
			this.channel.enqueue(ResponseEncoder.DONE);
			this.channel.finish();
		}
	}

	@Override
	public void fail(ApiError error) {
		if (!this.isStarted) {
			this.exchange.respondError(error);
			return;
		}
		this.channel.enqueue(this.encoder.errorEvent(error));
		this.channel.finish();
	}

	@Override
	public void handOver(EventId position) {
		if (tryStart()) {
			this.channel.enqueue(this.encoder.handoverEvent(encodeEventId(position)));
			this.channel.finish();
		}
	}

	@Override
	public boolean isResumable() {
		return true;
	}

	private String encodeEventId(EventId position) {
		if (this.writer == null || !this.writer.canEncode(position)) {
			this.writer = this.codec.writer(position);
		}
		return this.writer.encode(position);
	}

	private boolean tryStart() {
		if (!this.isStarted) {
			this.isStarted = this.exchange.reserveForStream();
		}
		return this.isStarted;
	}

}
