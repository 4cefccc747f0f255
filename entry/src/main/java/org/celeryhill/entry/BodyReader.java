package org.celeryhill.entry;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Receives the body of a request within a bound of memory and time, without a thread that
 * waits. The limits are checked here, since Undertow closes the connection of a chunked
 * body that exceeds its own limit before an answer can be sent. Immutable and
 * thread-safe.
 */
final class BodyReader {

	/** Time after which a caller may repeat a request that there was no room for. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Time between the answer to a slow body and the end of its connection. */
	private static final Duration LINGER = Duration.ofMillis(500);

	/** Limits. */
	private final ApiLimits limits;

	/** Bytes of the bodies of all open requests. */
	private final AtomicLong held = new AtomicLong();

	BodyReader(ApiLimits limits) {
		this.limits = limits;
	}

	/**
	 * Receives a body. Must be called on the I/O thread within the root handler.
	 * @param api the exchange, not null
	 * @param next called on the I/O thread with the body, not null
	 * @throws ApiException if the announced length exceeds the limit
	 */
	void read(ApiExchange api, Consumer next) throws ApiException {
		HttpServerExchange exchange = api.exchange();
		if (exchange.getRequestContentLength() > this.limits.maxBodyBytes()) {
			throw new ApiException(tooLarge());
		}
		AtomicBoolean isDone = new AtomicBoolean();
		XnioExecutor.Key timeout = exchange.getIoThread().executeAfter(() -> {
			if (!isDone.getAndSet(true)) {
				timedOut(api);
			}
		}, this.limits.bodyTimeout().toMillis(), TimeUnit.MILLISECONDS);
		ByteArrayOutputStream collected = new ByteArrayOutputStream();
		exchange.addExchangeCompleteListener((done, proceed) -> {
			this.held.addAndGet(-collected.size());
			proceed.proceed();
		});
		Receiver receiver = exchange.getRequestReceiver();
		receiver.receivePartialBytes((inner, part, isLast) -> {
			if (isDone.get()) {
				return;
			}
			collected.writeBytes(part);
			Optional<ApiError> error = check(collected.size(), this.held.addAndGet(part.length));
			if ((isLast || error.isPresent()) && !isDone.getAndSet(true)) {
				timeout.remove();
				if (error.isPresent()) {
					receiver.pause();
				}
				inner.dispatch(SameThreadExecutor.INSTANCE, () -> received(api, collected, error, next));
			}
		}, (inner, fault) -> {
			timeout.remove();
			if (!isDone.getAndSet(true)) {
				IoUtils.safeClose(inner.getConnection());
			}
		});
	}

	private Optional<ApiError> check(int size, long heldInAll) {
		if (size > this.limits.maxBodyBytes()) {
			return Optional.of(tooLarge());
		}
		return (heldInAll <= this.limits.maxHeldBytes()) ? Optional.empty()
				: Optional.of(ApiError
					.notRun(ErrorCode.OVERLOADED, "This daemon holds as many request bodies as it can; retry later.")
					.withRetryAfter(RETRY_AFTER));
	}

	private void received(ApiExchange api, ByteArrayOutputStream body, Optional<ApiError> error, Consumer next) {
		if (error.isEmpty()) {
			next.accept(body.toByteArray());
			return;
		}
		api.error(error.get());
		closeSoon(api.exchange());
	}

	private ApiError tooLarge() {
		return ApiError.notRun(ErrorCode.BODY_TOO_LARGE,
				"The body may have at most " + this.limits.maxBodyBytes() + " bytes; send less.");
	}

	private void timedOut(ApiExchange api) {
		api.error(ApiError.notRun(ErrorCode.REQUEST_TIMEOUT, "The body did not arrive within "
				+ this.limits.bodyTimeout().toMillis() + " ms; send it faster or send less."));
		closeSoon(api.exchange());
	}

	/**
	 * Closes a connection whose request is not read to its end shortly after the answer.
	 * @param exchange the exchange, not null
	 */
	static void closeSoon(HttpServerExchange exchange) {
		exchange.getResponseHeaders().put(new HttpString("Connection"), "close");
		exchange.getIoThread()
			.executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), LINGER.toMillis(), TimeUnit.MILLISECONDS);
	}

	/** Takes a body. */
	interface Consumer {

		/**
		 * Takes the body on the I/O thread, outside the root handler.
		 * @param body the body, not null
		 */
		void accept(byte[] body);

	}

}
