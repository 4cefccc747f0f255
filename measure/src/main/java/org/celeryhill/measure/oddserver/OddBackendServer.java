package org.celeryhill.measure.oddserver;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Backend server on the loopback interface that carries out the decisions of a plan.
 */
final class OddBackendServer implements AutoCloseable {

	private static final int ACCEPT_BACKLOG = 1024;

	private final AtomicLong requestCount = new AtomicLong();

	private final Counts counts = new Counts();

	private final DecisionPlan plan;

	private final RunLedger ledger;

	private final WireFormat format;

	private final Channel listener;

	private OddBackendServer(EventLoopGroup group, DecisionPlan plan, RunLedger ledger, WireFormat format) {
		this.plan = plan;
		this.ledger = ledger;
		this.format = format;
		this.listener = new ServerBootstrap().group(group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
			.childOption(ChannelOption.TCP_NODELAY, true)
			.childHandler(new ChannelInitializer<SocketChannel>() {
				@Override
				protected void initChannel(SocketChannel channel) {
					channel.pipeline()
						.addLast(new HttpRequestDecoder(), new BackendServerConnection(OddBackendServer.this));
				}
			})
			.bind(InetAddress.getLoopbackAddress(), 0)
			.syncUninterruptibly()
			.channel();
	}

	/**
	 * Starts a server on a free port.
	 * @param group runs its connections
	 * @param plan decides what it does
	 * @param ledger records what it has run
	 * @param format the headers of requests and responses
	 * @return the server
	 */
	static OddBackendServer start(EventLoopGroup group, DecisionPlan plan, RunLedger ledger, WireFormat format) {
		return new OddBackendServer(group, plan, ledger, format);
	}

	InetSocketAddress address() {
		return (InetSocketAddress) this.listener.localAddress();
	}

	Counts counts() {
		return this.counts;
	}

	ServedExchange accept(BackendServerConnection connection, HttpRequest request) {
		String requestId = this.format.codec().decodeRequest(request.headers()).id().orElse("none");
		Decision decision = this.plan.decide(this.requestCount.getAndIncrement());
		this.counts.recordRequest(decision.outcome());
		Optional<RunLedger.Run> run = decision.outcome().isExecuted()
				? Optional.of(this.ledger.start(requestId, RouteKind.ofTarget(request.uri()), decision.outcome()))
				: Optional.empty();
		return new ServedExchange(connection, requestId, decision, run, this.format.headers());
	}

	@Override
	public void close() {
		this.listener.close().syncUninterruptibly();
	}

	/**
	 * What a server has seen and done. Thread-safe.
	 */
	static final class Counts {

		final LongAdder connections = new LongAdder();

		/** Requests before whose response extra bytes were sent on their connection. */
		final LongAdder metExtraBytes = new LongAdder();

		private final Map<Outcome, LongAdder> requests = new EnumMap<>(Outcome.class);

		private final Map<Oddity, LongAdder> oddAnswers = new EnumMap<>(Oddity.class);

		private Counts() {
			for (Outcome outcome : Outcome.values()) {
				this.requests.put(outcome, new LongAdder());
			}
			for (Oddity oddity : Oddity.values()) {
				this.oddAnswers.put(oddity, new LongAdder());
			}
		}

		private void recordRequest(Outcome outcome) {
			this.requests.get(outcome).increment();
		}

		void recordOddAnswer(Oddity oddity) {
			this.oddAnswers.get(oddity).increment();
		}

		long requests(Outcome outcome) {
			return this.requests.get(outcome).sum();
		}

		long oddAnswers(Oddity oddity) {
			return this.oddAnswers.get(oddity).sum();
		}

		long requests() {
			return this.requests.values().stream().mapToLong(LongAdder::sum).sum();
		}

		long oddAnswers() {
			return this.oddAnswers.values().stream().mapToLong(LongAdder::sum).sum();
		}

	}

}
