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
 * Receives request bodies without blocking, within limits of memory and time. The size is
 * checked here, since Undertow closes the connection of a chunked body that exceeds
 * Undertow's own limit before a response can be sent. Thread-safe.
 */
final class BodyReader {

	/** Value of {@code Retry-After} when too many bytes of bodies are held. */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Time between an error response to an unread body and closing the connection. */
	private static final Duration CLOSE_DELAY = Duration.ofMillis(500);

	/** Limits of size and time. */
	private final ApiLimits limits;

	/** Bytes held for the bodies of all open requests. */
	private final AtomicLong heldBytes = new AtomicLong();

	BodyReader(ApiLimits limits) {
		this.limits = limits;
	}

	/**
	 * Receives the body of a request. Must be called on the I/O thread within the root
	 * handler. If the body exceeds a limit, an error response is sent and {@code next} is
	 * not called.
	 * @param api the exchange with the caller, not null
	 * @param next called on the I/O thread with the complete body, not null
	 * @throws ApiException if the {@code Content-Length} exceeds the limit
	 */
	void read(ApiExchange api, BodyConsumer next) throws ApiException {
		HttpServerExchange exchange = api.exchange();
		if (exchange.getRequestContentLength() > this.limits.maxBodyBytes()) {
			throw new ApiException(bodyTooLarge());
		}
		AtomicBoolean isDone = new AtomicBoolean();
		XnioExecutor.Key timeout = exchange.getIoThread().executeAfter(() -> {
			if (!isDone.getAndSet(true)) {
				onTimeout(api);
			}
		}, this.limits.bodyTimeout().toMillis(), TimeUnit.MILLISECONDS);
		ByteArrayOutputStream buffer = new ByteArrayOutputStream();
		exchange.addExchangeCompleteListener((done, proceed) -> {
			this.heldBytes.addAndGet(-buffer.size());
			proceed.proceed();
		});
		Receiver receiver = exchange.getRequestReceiver();
		receiver.receivePartialBytes((inner, chunk, isLast) -> {
			if (isDone.get()) {
				return;
			}
			buffer.writeBytes(chunk);
			Optional<ApiError> error = checkLimits(buffer.size(), this.heldBytes.addAndGet(chunk.length));
			if ((isLast || error.isPresent()) && !isDone.getAndSet(true)) {
				timeout.remove();
				if (error.isPresent()) {
					receiver.pause();
				}
				inner.dispatch(SameThreadExecutor.INSTANCE, () -> onReceived(api, buffer, error, next));
			}
		}, (inner, fault) -> {
			timeout.remove();
			if (!isDone.getAndSet(true)) {
				IoUtils.safeClose(inner.getConnection());
			}
		});
	}

	private Optional<ApiError> checkLimits(int size, long totalHeldBytes) {
		if (size > this.limits.maxBodyBytes()) {
			return Optional.of(bodyTooLarge());
		}
		return (totalHeldBytes <= this.limits.maxHeldBytes()) ? Optional.empty()
				: Optional.of(ApiError
					.notRun(ErrorCode.OVERLOADED, "This daemon holds as many request bodies as it can; retry later.")
					.withRetryAfter(RETRY_AFTER));
	}

	private void onReceived(ApiExchange api, ByteArrayOutputStream body, Optional<ApiError> error, BodyConsumer next) {
		if (error.isEmpty()) {
			next.accept(body.toByteArray());
			return;
		}
		api.respondError(error.get());
		closeAfterDelay(api.exchange());
	}

	private ApiError bodyTooLarge() {
		return ApiError.notRun(ErrorCode.BODY_TOO_LARGE,
				"The body may have at most " + this.limits.maxBodyBytes() + " bytes; send less.");
	}

	private void onTimeout(ApiExchange api) {
		api.respondError(ApiError.notRun(ErrorCode.REQUEST_TIMEOUT, "The body did not arrive within "
				+ this.limits.bodyTimeout().toMillis() + " ms; send it faster or send less."));
		closeAfterDelay(api.exchange());
	}

	/**
	 * Closes the connection of a request that was not read completely, after a delay that
	 * lets the response reach the caller.
	 * @param exchange the exchange of the request, not null
	 */
	static void closeAfterDelay(HttpServerExchange exchange) {
		exchange.getResponseHeaders().put(new HttpString("Connection"), "close");
		exchange.getIoThread()
			.executeAfter(() -> IoUtils.safeClose(exchange.getConnection()), CLOSE_DELAY.toMillis(),
					TimeUnit.MILLISECONDS);
	}

	/** Receives a complete body. */
	interface BodyConsumer {

		/**
		 * Handles the body. Called on the I/O thread, outside the root handler.
		 * @param body the complete body, not null
		 */
		void accept(byte[] body);

	}

}
