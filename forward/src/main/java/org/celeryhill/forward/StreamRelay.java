package org.celeryhill.forward;

import java.io.ByteArrayOutputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Relays the events of one attempt's streamed response to the caller. Only complete
 * events are passed on, so that another attempt can continue the stream. Must be used on
 * the event loop.
 */
final class StreamRelay {

	/**
	 * Time from the first event of a stream after which its request is not the cause if
	 * the engine process ends.
	 */
	private static final long RUN_CONFIRMATION_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

	/** Size from which on events are written without waiting for more. */
	private static final int MAX_JOINED_BYTES = 65_536;

	private final ForwardAttempt attempt;

	private final ForwardCall call;

	private final HttpResponse head;

	private final int tokensPerEvent;

	private final EventSplitter splitter = new EventSplitter();

	/** Complete events that are not yet written to the caller. */
	private final ByteArrayOutputStream unwrittenEvents = new ByteArrayOutputStream();

	private long firstEventNanos;

	private boolean hasEvent;

	/**
	 * Creates a relay.
	 * @param attempt the attempt whose response is relayed, not null
	 * @param call the request of the attempt, not null
	 * @param head the status line and headers of the response, not null
	 */
	StreamRelay(ForwardAttempt attempt, ForwardCall call, HttpResponse head) {
		this.attempt = attempt;
		this.call = call;
		this.head = head;
		this.tokensPerEvent = findTokensPerEvent(call);
	}

	private static int findTokensPerEvent(ForwardCall call) {
		return call.forwarder.table()
			.flatMap((table) -> table.service(call.service))
			.flatMap(ServiceProfile::engine)
			.map(EngineProfile::tokensPerEvent)
			.orElse(1);
	}

	/**
	 * Adds a part of the response body. The events that it completes are kept until the
	 * next call of {@link #write()}.
	 * @param bytes the bytes, not null
	 * @return the fault for which the response has to be given up, empty if there is none
	 */
	Optional<String> add(ByteBuf bytes) {
		List<EventSplitter.Event> completeEvents;
		try {
			completeEvents = this.splitter.add(bytes);
		}
		catch (IllegalStateException ex) {
			return Optional.of(ex.getMessage());
		}
		if (completeEvents.isEmpty()) {
			return Optional.empty();
		}
		recordArrival();
		return addEvents(completeEvents);
	}

	private void recordArrival() {
		if (!this.call.isStreaming) {
			this.attempt.startStream();
			recordFirstEventOfCall();
		}
		if (!this.hasEvent) {
			this.hasEvent = true;
			this.firstEventNanos = System.nanoTime();
		}
		else if (isRunConfirmed()) {
			this.attempt.evidence.recordServed();
		}
	}

	private void recordFirstEventOfCall() {
		long waitedNanos = System.nanoTime() - this.call.incoming.arrivedNanos();
		this.call.forwarder.metrics().recordFirstEvent(waitedNanos / 1e9);
		if (waitedNanos > this.call.route.targetLatency().toNanos()) {
			this.call.demand.recordLate();
		}
		this.call.request.model()
			.ifPresent((model) -> this.call.forwarder.recordCachedPrefix(this.attempt.server.id(), model,
					this.call.prefixBlockHashes));
	}

	private Optional<String> addEvents(List<EventSplitter.Event> events) {
		String requestId = this.call.requestMetadata.id().orElseThrow();
		for (EventSplitter.Event event : events) {
			if (ResponseHeads.holdsHead(event.bytes(), "", requestId)) {
				return Optional.of("stream holds a second copy of the response");
			}
			this.call.eventCount++;
			if (event.id().isPresent()) {
				this.call.lastEventId = event.id();
			}
			this.unwrittenEvents.writeBytes(event.bytes());
		}
		return Optional.empty();
	}

	/**
	 * Returns whether the unwritten events are long enough to be written without waiting
	 * for more.
	 * @return whether to call {@link #write()} at once
	 */
	boolean isWriteDue() {
		return this.unwrittenEvents.size() >= MAX_JOINED_BYTES;
	}

	/**
	 * Passes on the unwritten events with a single write, so that many small ones that
	 * arrived together cost little more than a long one.
	 * @return whether more can be written without buffering, true if nothing was written
	 */
	boolean write() {
		if (this.unwrittenEvents.size() == 0) {
			return true;
		}
		byte[] bytes = this.unwrittenEvents.toByteArray();
		this.unwrittenEvents.reset();
		this.call.forwarder.traffic()
			.progress(this.attempt.id, this.call.eventCount * this.tokensPerEvent, System.nanoTime());
		return this.call.channel.write(bytes);
	}

	/**
	 * Returns whether the stream can be complete when the response ends here. A response
	 * without events is the end of a continued stream only if its own end is certain.
	 * @return whether no event is incomplete and the stream has events
	 */
	boolean mayEnd() {
		if (this.splitter.hasIncompleteEvent()) {
			return false;
		}
		boolean isEndMarked = HttpUtil.isContentLengthSet(this.head) || HttpUtil.isTransferEncodingChunked(this.head);
		return this.hasEvent || (this.call.eventCount > 0 && isEndMarked);
	}

	/**
	 * Returns whether the engine has worked on the response for so long that the request
	 * cannot be the cause if the process ends.
	 * @return whether the first event of this response is long enough ago
	 */
	boolean isRunConfirmed() {
		return this.hasEvent && System.nanoTime() - this.firstEventNanos > RUN_CONFIRMATION_NANOS;
	}

}
