package org.celeryhill.entry;

import java.io.ByteArrayOutputStream;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import io.undertow.io.Receiver;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HttpString;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;
import org.xnio.XnioExecutor;

/**
 * Receives the body of a request within a bound of memory and time, without a thread that
 * waits. The limit is checked here, since Undertow closes the connection of a chunked
 * body that exceeds its own limit before an answer can be sent. Immutable and
 * thread-safe.
 */
final class BodyReader {

	/** Time between the answer to a slow body and the end of its connection. */
	private static final Duration LINGER = Duration.ofMillis(500);

	/** Limits. */
	private final ApiLimits limits;

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
		Receiver receiver = exchange.getRequestReceiver();
		receiver.receivePartialBytes((inner, part, isLast) -> {
			if (isDone.get()) {
				return;
			}
			collected.writeBytes(part);
			boolean isTooLarge = collected.size() > this.limits.maxBodyBytes();
			if ((isLast || isTooLarge) && !isDone.getAndSet(true)) {
				timeout.remove();
				if (isTooLarge) {
					receiver.pause();
				}
				inner.dispatch(SameThreadExecutor.INSTANCE, () -> received(api, collected, isTooLarge, next));
			}
		}, (inner, fault) -> {
			timeout.remove();
			if (!isDone.getAndSet(true)) {
				IoUtils.safeClose(inner.getConnection());
			}
		});
	}

	private void received(ApiExchange api, ByteArrayOutputStream body, boolean isTooLarge, Consumer next) {
		if (isTooLarge) {
			api.error(tooLarge());
			closeSoon(api.exchange());
			return;
		}
		next.accept(body.toByteArray());
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
