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
 * Root of the callers' API: bounds the number of requests, authenticates and finds the
 * handler. Runs on I/O threads and never blocks. Thread-safe.
 */
final class ApiRoot implements HttpHandler {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(ApiRoot.class);

	/** Path below which plain services are. */
	private static final String SERVICES = "/v1/services/";

	/**
	 * Time after which a caller may repeat a request that this daemon has no room for.
	 */
	private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

	/** Configuration in force. */
	private final Supplier<CallerIndex> index;

	/** Serves generations. */
	private final GenerationHandler generations;

	/** Serves calls of plain services. */
	private final PlainHandler plainCalls;

	/** Receives bodies. */
	private final BodyReader bodies;

	/** Limits. */
	private final ApiLimits limits;

	/** Counters. */
	private final EntryMetrics metrics;

	/** Requests that are open. */
	private final AtomicInteger open = new AtomicInteger();

	/** Cleared when admission stops. */
	private volatile boolean isAdmitting = true;

	ApiRoot(Supplier<CallerIndex> index, GenerationHandler generations, PlainHandler plainCalls, ApiLimits limits,
			EntryMetrics metrics) {
		this.index = Objects.requireNonNull(index, "index");
		this.generations = Objects.requireNonNull(generations, "generations");
		this.plainCalls = Objects.requireNonNull(plainCalls, "plainCalls");
		this.limits = Objects.requireNonNull(limits, "limits");
		this.metrics = Objects.requireNonNull(metrics, "metrics");
		this.bodies = new BodyReader(limits);
	}

	/** Refuses all further requests. */
	void stopAdmission() {
		this.isAdmitting = false;
	}

	int openRequests() {
		return this.open.get();
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		ApiExchange api = new ApiExchange(exchange, Ids.request(), this.metrics);
		int count = this.open.incrementAndGet();
		this.metrics.open(count);
		exchange.addExchangeCompleteListener((done, next) -> {
			this.metrics.open(this.open.decrementAndGet());
			next.proceed();
		});
		try {
			admit(count);
			checkHead(exchange);
			route(api, exchange);
		}
		catch (ApiException ex) {
			reject(api, ex.error());
		}
		catch (RuntimeException ex) {
			reject(api, fault(api, ex));
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

	private void checkHead(HttpServerExchange exchange) throws ApiException {
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
			case "/v1/chat/completions" -> generation(api, organisation, current, ApiShape.CHAT);
			case "/v1/completions" -> generation(api, organisation, current, ApiShape.COMPLETION);
			case "/v1/models" -> {
				requireMethod(exchange, "GET");
				dispatch(api, () -> api.json(200, models(organisation, current)));
			}
			case "/v1/streams/resume" -> {
				requireMethod(exchange, "GET");
				dispatch(api, () -> this.generations.resume(api, organisation, current));
			}
			default -> {
				if (!path.startsWith(SERVICES)) {
					throw ApiException.notRun(ErrorCode.NOT_FOUND, "No such path; docs/api.md lists all paths.");
				}
				PlainTarget target = PlainTarget.parse(exchange, SERVICES, organisation, current);
				this.bodies.read(api, (body) -> guarded(api, () -> this.plainCalls.call(api, target, body)));
			}
		}
	}

	private void generation(ApiExchange api, OrganisationId organisation, CallerIndex current, ApiShape shape)
			throws ApiException {
		requireMethod(api.exchange(), "POST");
		this.bodies.read(api,
				(body) -> guarded(api, () -> this.generations.generate(api, organisation, current, shape, body)));
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

	private void dispatch(ApiExchange api, Action action) {
		api.exchange().dispatch(io.undertow.util.SameThreadExecutor.INSTANCE, () -> guarded(api, action));
	}

	private void guarded(ApiExchange api, Action action) {
		try {
			action.run();
		}
		catch (ApiException ex) {
			api.error(ex.error());
		}
		catch (RuntimeException ex) {
			api.error(fault(api, ex));
		}
	}

	private static ApiError fault(ApiExchange api, RuntimeException fault) {
		LOG.warn("request_fault", "request", api.id(), "fault", fault, "at",
				(fault.getStackTrace().length > 0) ? fault.getStackTrace()[0] : "");
		return ApiError.of(ErrorCode.INTERNAL, "Unexpected fault; report the request id to the operator.",
				Execution.UNKNOWN);
	}

	private void reject(ApiExchange api, ApiError error) {
		HttpServerExchange exchange = api.exchange();
		exchange.dispatch(io.undertow.util.SameThreadExecutor.INSTANCE, () -> api.error(error));
		if (!exchange.isRequestComplete()) {
			BodyReader.closeSoon(exchange);
		}
	}

	/** Handling of a request that may end with an error answer. */
	private interface Action {

		void run() throws ApiException;

	}

}
