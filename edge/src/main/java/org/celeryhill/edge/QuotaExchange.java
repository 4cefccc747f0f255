package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Supplier;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.quota.HostQuota;
import org.celeryhill.quota.QuotaAnswer;
import org.celeryhill.quota.QuotaBound;
import org.celeryhill.quota.QuotaDecision;
import org.celeryhill.quota.QuotaGate;
import org.celeryhill.quota.QuotaLimit;
import org.celeryhill.quota.QuotaReport;

/**
 * Exchanges the reports and answers by which all hosts keep the quotas together. They
 * pass with the heartbeats, and in calls of their own while a request waits for units or
 * the holder is lost. Must be used on the event loop.
 */
final class QuotaExchange implements QuotaGate {

	static final String PATH = "/quota";

	private static final EventLog LOG = EventLog.of(QuotaExchange.class);

	private static final Duration CALL_TIMEOUT = Duration.ofMillis(300);

	private static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	/** Time for which a new deputy is named in all answers, since answers can be lost. */
	private static final long ANNOUNCEMENT_NANOS = TimeUnit.SECONDS.toNanos(2);

	private static final long DEPUTY_CHECK_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final HostQuota quota;

	private final QuotaHolding holding;

	private final JsonHttpClient calls;

	private final EdgeMetrics metrics;

	private final InetSocketAddress ownAddress;

	private final Supplier<List<String>> members;

	private final PauseDetector pauseDetector = new PauseDetector();

	/** The holder whose last heartbeat response says that it is one. */
	private Optional<InetSocketAddress> answeringHolder = Optional.empty();

	private Optional<InetSocketAddress> deputy = Optional.empty();

	private String namedDeputy = "";

	private long deputyNamedNanos;

	private long deputyCheckedNanos = System.nanoTime() - DEPUTY_CHECK_NANOS;

	private long lastExchangeNanos;

	QuotaExchange(JsonHttpClient calls, Leadership leadership, EdgeMetrics metrics, QuotaBound bound,
			InetSocketAddress ownAddress, String hostId, Supplier<List<String>> members) {
		this.calls = calls;
		this.metrics = metrics;
		this.ownAddress = ownAddress;
		this.members = members;
		this.holding = new QuotaHolding(bound, leadership);
		String process = hostId + "-" + UUID.randomUUID().toString().substring(0, 8);
		this.quota = new HostQuota(process, bound, new QuotaLog(metrics, this::exchange));
		this.lastExchangeNanos = System.nanoTime();
	}

	@Override
	public void configure(Map<OrganisationId, QuotaLimit> limits, long now) {
		this.holding.configure(limits, now);
		this.quota.configure(limits, now);
	}

	@Override
	public Ticket request(OrganisationId organisation, long tokens, long now, Consumer<QuotaDecision> listener) {
		checkForPause(now);
		return this.quota.request(organisation, tokens, now, listener);
	}

	private void checkForPause(long now) {
		if (this.pauseDetector.checkForPause() && this.quota.isActive()) {
			LOG.warn("quota_pause_suspected");
			this.holding.handlePause();
			this.quota.handlePause(now);
		}
	}

	// Ends waits that last too long, and reports where no heartbeat does it.
	void tick() {
		long now = System.nanoTime();
		checkForPause(now);
		if (!this.quota.isActive()) {
			return;
		}
		this.quota.tick(now);
		boolean isDue = now - this.lastExchangeNanos >= PERIOD_NANOS
				&& (this.holding.isHolder(now) || this.quota.isHolderLost(now));
		if (isDue || this.quota.isReportNeeded()) {
			exchange();
		}
	}

	// Reports to the holder, or to its deputy if it is lost.
	private void exchange() {
		long now = System.nanoTime();
		this.lastExchangeNanos = now;
		if (this.holding.isHolder(now)) {
			exchangeLocally(false, now);
			return;
		}
		boolean isDeputyAsked = this.quota.isHolderLost(now);
		Optional<InetSocketAddress> target = isDeputyAsked ? this.deputy.or(() -> this.answeringHolder)
				: this.answeringHolder;
		if (target.equals(Optional.of(this.ownAddress))) {
			exchangeLocally(isDeputyAsked, now);
		}
		else {
			target.ifPresent((address) -> call(address, isDeputyAsked, now));
		}
	}

	private void exchangeLocally(boolean isDeputyAsked, long now) {
		this.quota.nextReport(now)
			.ifPresent((report) -> this.holding.answer(report, isDeputyAsked, now)
				.ifPresentOrElse((answer) -> this.quota.handleAnswer(answer, now, now),
						() -> this.quota.handleFailure(report.sequence(), now)));
	}

	private void call(InetSocketAddress target, boolean isDeputyAsked, long now) {
		Optional<QuotaReport> report = this.quota.nextReport(now);
		if (report.isEmpty()) {
			return;
		}
		long sequence = report.get().sequence();
		ObjectNode body = QuotaMessages.encodeReport(report.get());
		body.put("isDeputyAsked", isDeputyAsked);
		this.calls.send(PeerService.peerCall(target, PATH, body, CALL_TIMEOUT)).whenComplete((reply, failure) -> {
			boolean isResponse = failure == null && reply.status() == HttpResponseStatus.OK.code();
			boolean isAnswered = isResponse && isAnswer(reply.body());
			handleAnswer(isResponse ? reply.body() : MissingNode.getInstance(), sequence, now);
			this.metrics.countQuotaCall(isAnswered ? "answered" : "failed");
			if (isAnswered && !report.get().isWhole() && this.quota.isWholeReportNeeded()) {
				call(target, isDeputyAsked, System.nanoTime());
			}
			else if (isAnswered && this.quota.isReportNeeded()) {
				exchange();
			}
		});
	}

	// Returns the part of a heartbeat to a host, empty unless that host is the holder.
	Optional<ObjectNode> encodeRequest(InetSocketAddress target) {
		if (!this.answeringHolder.equals(Optional.of(target))) {
			return Optional.empty();
		}
		long now = System.nanoTime();
		checkForPause(now);
		this.lastExchangeNanos = now;
		return this.quota.nextReport(now).map(QuotaMessages::encodeReport);
	}

	// Takes the response to a heartbeat.
	void handleResponse(InetSocketAddress target, Optional<ObjectNode> request, JsonNode reply, long sentNanos) {
		boolean isHolder = reply.path("isHolder").asBoolean();
		boolean isNewHolder = isHolder && !this.answeringHolder.equals(Optional.of(target));
		if (isHolder) {
			this.answeringHolder = Optional.of(target);
		}
		request.ifPresent((node) -> handleAnswer(reply.path("quota"), node.path("sequence").asLong(), sentNanos));
		boolean isCallNeeded = isNewHolder || this.quota.isReportNeeded()
				|| (isHolder && this.quota.isWholeReportNeeded());
		if (this.quota.isActive() && isCallNeeded) {
			this.answeringHolder.ifPresent((holder) -> call(holder, false, System.nanoTime()));
		}
	}

	// Records that a heartbeat was not answered.
	void handleFailure(InetSocketAddress target, Optional<ObjectNode> request) {
		if (this.answeringHolder.equals(Optional.of(target))) {
			this.answeringHolder = Optional.empty();
		}
		long now = System.nanoTime();
		request.ifPresent((node) -> this.quota.handleFailure(node.path("sequence").asLong(), now));
	}

	// Settles a report in any case, since the next one is only sent after that.
	private void handleAnswer(JsonNode node, long sequence, long sentNanos) {
		long now = System.nanoTime();
		checkForPause(now);
		try {
			if (isAnswer(node)) {
				applyAnswer(node, sentNanos, now);
			}
		}
		catch (IllegalArgumentException ex) {
			LOG.warn("quota_answer_malformed", "cause", ex.getMessage());
		}
		finally {
			this.quota.handleFailure(sequence, now);
		}
	}

	private void applyAnswer(JsonNode node, long sentNanos, long now) {
		PeerMessages.findText(node, "deputy")
			.ifPresent((address) -> this.deputy = Optional.of(ServerEntryCodec.address(address)));
		this.quota.handleAnswer(QuotaMessages.decodeAnswer(node), sentNanos, now);
		this.holding.recordTerm(this.quota.term());
	}

	// Returns whether a response is that of a host which keeps the quotas.
	private static boolean isAnswer(JsonNode node) {
		return node.has("term");
	}

	// Answers the report of another host, empty if this host does not keep the quotas.
	Optional<ObjectNode> answer(JsonNode node) {
		if (!node.has("sequence")) {
			return Optional.empty();
		}
		long now = System.nanoTime();
		checkForPause(now);
		QuotaReport report = QuotaMessages.decodeReport(node);
		Optional<QuotaAnswer> answer = this.holding.answer(report, node.path("isDeputyAsked").asBoolean(), now);
		return answer.map((one) -> {
			ObjectNode encoded = QuotaMessages.encodeAnswer(one);
			nameDeputy(now);
			boolean isDeputyNew = report.isWhole() || now - this.deputyNamedNanos < ANNOUNCEMENT_NANOS;
			if (this.holding.isHolder(now) && isDeputyNew && !this.namedDeputy.isEmpty()) {
				encoded.put("deputy", this.namedDeputy);
			}
			return encoded;
		});
	}

	// Names the host that has sent heartbeats for longest as the deputy.
	private void nameDeputy(long now) {
		if (now - this.deputyCheckedNanos < DEPUTY_CHECK_NANOS || !this.holding.isHolder(now)) {
			return;
		}
		this.deputyCheckedNanos = now;
		List<String> addresses = this.members.get();
		if (!addresses.isEmpty() && !addresses.get(0).equals(this.namedDeputy)) {
			this.namedDeputy = addresses.get(0);
			this.deputyNamedNanos = now;
		}
	}

	String dump() {
		return this.quota.isActive() ? "quotas on this host: " + this.quota.dump() + this.holding.dump() : "";
	}

}
