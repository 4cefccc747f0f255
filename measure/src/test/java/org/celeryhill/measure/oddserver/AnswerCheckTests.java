package org.celeryhill.measure.oddserver;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the check of answers, with violations planted.
 */
class AnswerCheckTests {

	private final RunLedger ledger = new RunLedger();

	private final AnswerCheck check = new AnswerCheck(this.ledger, WireFormat.load());

	private Answer judge(int status, String answeredId, String body) {
		FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(status), Unpooled.copiedBuffer(body, StandardCharsets.US_ASCII));
		this.check.format().headers().encodeExecuted(response.headers(), answeredId);
		return this.check.judge("r1", response);
	}

	/** Guards against a check that calls whole answers of a run foreign. */
	@Test
	void wholeAnswersOfRunsAreOwn() {
		RunLedger.Run failed = this.ledger.start("r1", RouteKind.STREAM, Outcome.FAILURE);
		RunLedger.Run succeeded = this.ledger.start("r1", RouteKind.STREAM, Outcome.SUCCESS);
		assertThat(judge(500, "r1", failed.body())).isEqualTo(Answer.OWN);
		assertThat(judge(200, "r1", succeeded.body())).isEqualTo(Answer.OWN);
	}

	/** Guards against a check that accepts answers of other requests or parts of them. */
	@Test
	void otherAnswersAreForeign() {
		RunLedger.Run own = this.ledger.start("r1", RouteKind.IDEMPOTENT, Outcome.SUCCESS);
		RunLedger.Run other = this.ledger.start("r2", RouteKind.IDEMPOTENT, Outcome.SUCCESS);
		assertThat(judge(200, "r1", other.body())).isEqualTo(Answer.FOREIGN);
		assertThat(judge(200, "r2", own.body())).isEqualTo(Answer.FOREIGN);
		assertThat(judge(500, "r1", own.body())).isEqualTo(Answer.FOREIGN);
		assertThat(judge(200, "r1", own.body().substring(1))).isEqualTo(Answer.FOREIGN);
		assertThat(judge(200, "r1", own.body() + "#")).isEqualTo(Answer.FOREIGN);
		assertThat(judge(200, "r1", "")).isEqualTo(Answer.FOREIGN);
	}

	/** Guards against a status of no known meaning that counts as an answer. */
	@Test
	void otherStatusIsViolation() {
		assertThat(judge(404, "r1", "")).isEqualTo(Answer.UNKNOWN_STATUS);
		assertThat(Answer.UNKNOWN_STATUS.isViolation()).isTrue();
	}

	/** Guards against false refusals and second runs that are not counted. */
	@Test
	void falseRefusalsAndExcessiveRunsAreCounted() {
		CallerFigures figures = new CallerFigures();
		this.ledger.start("ran", RouteKind.NON_IDEMPOTENT, Outcome.SUCCESS);
		figures.record("ran", Answer.NOT_RUN, 1);
		figures.record("refused", Answer.NOT_RUN, 1);
		assertThat(figures.countRefusedRuns(this.ledger)).isEqualTo(1);
		assertThat(this.ledger.countExcessiveRuns()).isZero();
		this.ledger.start("ran", RouteKind.NON_IDEMPOTENT, Outcome.SUCCESS);
		assertThat(this.ledger.countExcessiveRuns()).isEqualTo(1);
	}

	/**
	 * Guards against callers that do not pass their answers to the check: their server
	 * runs everything in a ledger that the check does not know.
	 */
	@Test
	void callerCountsForeignAnswers() {
		LoadProfile profile = Profiles.of(0, 0, 0, Oddity.CLOSED).withDuration(Duration.ofMillis(200));
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		CallerFigures figures = new CallerFigures();
		DecisionPlan plan = new DecisionPlan(profile, 0, 0);
		try (OddBackendServer server = OddBackendServer.start(group, plan, new RunLedger(), this.check.format())) {
			InetSocketAddress host = server.address();
			long endNanos = System.nanoTime() + profile.duration().toNanos();
			new ClosedLoopCaller(profile, 0, group.next(), host, this.check, figures, endNanos).start().join();
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
		assertThat(figures.count(Answer.FOREIGN)).isPositive().isEqualTo(figures.count());
	}

}
