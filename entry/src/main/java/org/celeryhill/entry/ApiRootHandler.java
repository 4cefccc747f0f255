package org.celeryhill.entry;

import java.time.Duration;
import java.util.Objects;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.Execution;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;

/**
 * Root handler of the callers' API. It limits the number of open requests, authenticates
 * callers and calls the handler of the path. Runs on I/O threads and never blocks.
 * Thread-safe.
 */
final class ApiRootHandler implements HttpHandler {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ApiRootHandler.class);

	/** Path prefix of plain services. */
	private static final String SERVICES_PATH = "/v1/services/";

	/**
	 * Value of {@code Retry-After} when this daemon is stopping or has too many open
	 * requests.
	 */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Returns the configuration in force. */
	private final Supplier<CallerIndex> index;

	/** Handles generation requests. */
	private final GenerationHandler generations;

	/** Handles calls of plain services. */
	private final PlainCallHandler plainCalls;

	/** Receives request bodies. */
	private final BodyReader bodies;

	/** Limits of the API. */
	private final ApiLimits limits;

	/** Metrics to update. */
	private final EntryMetrics metrics;

	/** Number of open requests. */
	private final AtomicInteger openCount = new AtomicInteger();

	/** Cleared when admission stops. */
	private volatile boolean isAdmitting = true;

	ApiRootHandler(Supplier<CallerIndex> index, GenerationHandler generations, PlainCallHandler plainCalls,
			ApiLimits limits, EntryMetrics metrics) {
		this.index = Objects.requireNonNull(index, "index");
		this.generations = Objects.requireNonNull(generations, "generations");
		this.plainCalls = Objects.requireNonNull(plainCalls, "plainCalls");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.bodies = new BodyReader(limits);
	}

	/** Stops admission: all new requests are rejected. */
	void stopAdmission() {
		this.isAdmitting = false;
	}

	int openRequests() {
		return this.openCount.get();
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		ApiExchange api = new ApiExchange(exchange, RandomIds.request(), this.metrics);
		int count = this.openCount.incrementAndGet();
		this.metrics.setOpenRequests(count);
		exchange.addExchangeCompleteListener((done, next) -> {
			this.metrics.setOpenRequests(this.openCount.decrementAndGet());
			next.proceed();
		});
		try {
			admit(count);
			checkHeadSize(exchange);
			route(api, exchange);
		}
		catch (ApiException ex) {
			reject(api, ex.error());
		}
		catch (RuntimeException ex) {
			reject(api, toInternalError(api, ex));
		}
	}

	private void admit(int count) throws ApiException {
		if (!this.isAdmitting) {
			throw new ApiException(ApiError
				.notRun(ErrorCode.SHUTTING_DOWN, "This daemon is stopping; send the request to another one.")
				.withRetryAfter(RETRY_AFTER));
		}
		if (count > this.limits.maxRequests()) {
			throw new ApiException(
					ApiError.notRun(ErrorCode.OVERLOADED, "This daemon holds as many requests as it can; retry later.")
						.withRetryAfter(RETRY_AFTER));
		}
	}

	private void checkHeadSize(HttpServerExchange exchange) throws ApiException {
		long bytes = exchange.getRequestURI().length() + exchange.getQueryString().length();
		for (HeaderValues values : exchange.getRequestHeaders()) {
			for (String value : values) {
				bytes += values.getHeaderName().length() + value.length();
			}
		}
		if (bytes > this.limits.maxHeaderBytes()) {
			exchange.setPersistent(false);
			throw ApiException.notRun(ErrorCode.HEAD_TOO_LARGE,
					"Path and headers may have at most " + this.limits.maxHeaderBytes() + " bytes; send less.");
		}
	}

	private void route(ApiExchange api, HttpServerExchange exchange) throws ApiException {
		String path = exchange.getRequestPath();
		CallerIndex current = this.index.get();
		OrganisationId organisation = current.authenticate(api.header("Authorization"));
		switch (path) {
			case "/v1/chat/completions" -> handleGeneration(api, organisation, current, ApiShape.CHAT);
			case "/v1/completions" -> handleGeneration(api, organisation, current, ApiShape.COMPLETION);
			case "/v1/models" -> {
				requireMethod(exchange, "GET");
				dispatchOnIoThread(api, () -> api.respondJson(200, models(organisation, current)));
			}
			case "/v1/streams/resume" -> {
				requireMethod(exchange, "GET");
				dispatchOnIoThread(api, () -> this.generations.resume(api, organisation, current));
			}
			default -> {
				if (!path.startsWith(SERVICES_PATH)) {
					throw ApiException.notRun(ErrorCode.NOT_FOUND, "No such path; docs/api.md lists all paths.");
				}
				PlainCallTarget target = PlainCallTarget.parse(exchange, SERVICES_PATH, organisation, current);
				this.bodies.read(api,
						(body) -> runWithErrorHandling(api, () -> this.plainCalls.serve(api, target, body)));
			}
		}
	}

	private void handleGeneration(ApiExchange api, OrganisationId organisation, CallerIndex current, ApiShape shape)
			throws ApiException {
		requireMethod(api.exchange(), "POST");
		this.bodies.read(api, (body) -> runWithErrorHandling(api,
				() -> this.generations.generate(api, organisation, current, shape, body)));
	}

	private static void requireMethod(HttpServerExchange exchange, String method) throws ApiException {
		if (!exchange.getRequestMethod().equalToString(method)) {
			throw ApiException.notRun(ErrorCode.METHOD_NOT_ALLOWED, "Use method " + method + " for this path.");
		}
	}

	private static ObjectNode models(OrganisationId organisation, CallerIndex index) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("object", "list");
		ArrayNode data = document.putArray("data");
		for (ModelId model : index.models(organisation)) {
			data.addObject().put("id", model.value()).put("object", "model").put("owned_by", organisation.value());
		}
		return document;
	}

	private void dispatchOnIoThread(ApiExchange api, RequestAction action) {
		api.exchange().dispatch(io.undertow.util.SameThreadExecutor.INSTANCE, () -> runWithErrorHandling(api, action));
	}

	private void runWithErrorHandling(ApiExchange api, RequestAction action) {
		try {
			action.run();
		}
		catch (ApiException ex) {
			api.respondError(ex.error());
		}
		catch (RuntimeException ex) {
			api.respondError(toInternalError(api, ex));
		}
	}

	private static ApiError toInternalError(ApiExchange api, RuntimeException exception) {
		LOG.warn("request_fault", "request", api.id(), "fault", exception, "at",
				(exception.getStackTrace().length > 0) ? exception.getStackTrace()[0] : "");
		return ApiError.of(ErrorCode.INTERNAL, "Unexpected fault; report the request id to the operator.",
				Execution.UNKNOWN);
	}

	private void reject(ApiExchange api, ApiError error) {
		HttpServerExchange exchange = api.exchange();
		exchange.dispatch(io.undertow.util.SameThreadExecutor.INSTANCE, () -> api.respondError(error));
		if (!exchange.isRequestComplete()) {
			BodyReader.closeAfterDelay(exchange);
		}
	}

	/** Part of the handling of a request that may reject it. */
	private interface RequestAction {

		void run() throws ApiException;

	}

}
