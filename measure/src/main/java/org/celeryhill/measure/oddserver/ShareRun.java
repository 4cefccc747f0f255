package org.celeryhill.measure.oddserver;

import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;

/**
 * Runs callers, an entry host and backend servers with one share of odd answers.
 */
final class ShareRun {

	private static final int SERVER_THREADS = 2;

	private static final int CALLER_THREADS = 2;

	private final RunLedger ledger = new RunLedger();

	private final LeftOutTime leftOut = new LeftOutTime();

	private final CallerFigures callerFigures = new CallerFigures();

	private final LoadProfile profile;

	private final double oddShare;

	private final WireFormat format;

	private List<OddBackendServer> servers = List.of();

	/** Time until the last answer, which may come after the end of the run. */
	private double elapsedSeconds;

	ShareRun(LoadProfile profile, double oddShare, WireFormat format) {
		this.profile = profile;
		this.oddShare = oddShare;
		this.format = format;
	}

	/**
	 * Runs the profile to its end.
	 * @return the figures
	 */
	ShareFigures run() {
		MultiThreadIoEventLoopGroup serverGroup = createGroup(SERVER_THREADS);
		MultiThreadIoEventLoopGroup callerGroup = createGroup(CALLER_THREADS);
		HostEvents events = HostEvents.install();
		try {
			this.servers = startServers(serverGroup);
			List<InetSocketAddress> addresses = this.servers.stream().map(OddBackendServer::address).toList();
			try (LoadedHost host = LoadedHost.start(this.profile, this.format, addresses, this.leftOut)) {
				runCallers(callerGroup, host.address());
				return figures(events);
			}
		}
		finally {
			events.close();
			this.servers.forEach(OddBackendServer::close);
			stop(callerGroup);
			stop(serverGroup);
		}
	}

	private static MultiThreadIoEventLoopGroup createGroup(int threads) {
		return new MultiThreadIoEventLoopGroup(threads, NioIoHandler.newFactory());
	}

	private static void stop(MultiThreadIoEventLoopGroup group) {
		group.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
	}

	private List<OddBackendServer> startServers(MultiThreadIoEventLoopGroup group) {
		List<OddBackendServer> started = new ArrayList<>();
		for (int i = 0; i < this.profile.servers(); i++) {
			DecisionPlan plan = new DecisionPlan(this.profile, i, this.oddShare);
			started.add(OddBackendServer.start(group, plan, this.ledger, this.format));
		}
		return started;
	}

	private void runCallers(MultiThreadIoEventLoopGroup group, InetSocketAddress host) {
		long startNanos = System.nanoTime();
		long endNanos = startNanos + this.profile.duration().toNanos();
		AnswerCheck check = new AnswerCheck(this.ledger, this.format);
		List<CompletableFuture<Void>> ends = new ArrayList<>();
		for (int i = 0; i < this.profile.callers(); i++) {
			ends.add(new ClosedLoopCaller(this.profile, i, group.next(), host, check, this.callerFigures, endNanos)
				.start());
		}
		CompletableFuture.allOf(ends.toArray(new CompletableFuture<?>[0])).join();
		this.elapsedSeconds = (System.nanoTime() - startNanos) / 1e9;
	}

	private ShareFigures figures(HostEvents events) {
		double seconds = this.profile.duration().toNanos() / 1e9;
		double callerSeconds = this.elapsedSeconds * this.profile.callers();
		HostFigures host = events.figures();
		return new ShareFigures(this.oddShare, seconds, this.callerFigures.count(), answers(),
				this.callerFigures.ownLatencyMillis(50), this.callerFigures.ownLatencyMillis(99), host,
				sum((counts) -> counts.metExtraBytes.sum()), sum((counts) -> counts.connections.sum()),
				sum(OddBackendServer.Counts::oddAnswers), this.leftOut.suspicionCount(),
				this.leftOut.seconds() / (this.elapsedSeconds * this.profile.servers()),
				host.waitedSeconds() / callerSeconds, this.callerFigures.answerSeconds() / callerSeconds, violations(),
				ManagementFactory.getOperatingSystemMXBean().getSystemLoadAverage());
	}

	private Map<Answer, Long> answers() {
		Map<Answer, Long> counts = new EnumMap<>(Answer.class);
		for (Answer answer : Answer.values()) {
			counts.put(answer, this.callerFigures.count(answer));
		}
		return counts;
	}

	private Map<String, Long> violations() {
		Map<String, Long> counts = new LinkedHashMap<>();
		for (Answer answer : Answer.values()) {
			if (answer.isViolation()) {
				counts.put(answer.name(), this.callerFigures.count(answer));
			}
		}
		counts.put("REFUSED_BUT_RUN", this.callerFigures.countRefusedRuns(this.ledger));
		counts.put("RUN_TOO_OFTEN", this.ledger.countExcessiveRuns());
		return counts;
	}

	private long sum(ToLongFunction<OddBackendServer.Counts> count) {
		return this.servers.stream().map(OddBackendServer::counts).mapToLong(count).sum();
	}

	List<OddBackendServer> servers() {
		return this.servers;
	}

}
