package org.celeryhill.forward;

import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of responses that a host has handed over to a connection of HTTP/1.0, whose
 * caller takes the regular end of the connection for that of the response.
 */
@Timeout(30)
class UnfinishedResponseTests {

	/** More than the buffers of a connection hold. */
	private static final byte[] LONG_BODY = new byte[24 << 20];

	private static final byte[] SHORT_BODY = new byte[1000];

	private static final int PART_BYTES = 1000;

	private static final Duration IDLE_TIMEOUT = Duration.ofMillis(1);

	/** Longer than the time between the two checks that close a connection. */
	private static final long CHECK_PAUSE_MS = 300;

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = this.group.next();

	private byte[] body = LONG_BODY;

	private IngressServer server;

	private Socket caller;

	@BeforeEach
	void start() throws Exception {
		this.server = IngressServer.create(this.loop, new StreamHandler());
		InetSocketAddress address;
		try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			address = new InetSocketAddress(InetAddress.getLoopbackAddress(), free.getLocalPort());
		}
		this.server.listen(address).sync();
		this.caller = new Socket(address.getAddress(), address.getPort());
	}

	@AfterEach
	void stop() throws Exception {
		this.caller.close();
		runOnLoop(this.server::close);
		this.group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	private void runOnLoop(Runnable task) throws Exception {
		this.loop.submit(task).get(5, TimeUnit.SECONDS);
	}

	private InputStream send(String version) throws Exception {
		this.caller.getOutputStream()
			.write(("GET /x " + version + "\r\nHost: a.example\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
		InputStream in = this.caller.getInputStream();
		assertThat(in.readNBytes(PART_BYTES)).startsWith("HTTP/1.".getBytes(StandardCharsets.US_ASCII));
		return in;
	}

	private void closeExpiredConnections() throws Exception {
		runOnLoop(this.server::closeExpiredConnections);
		Thread.sleep(CHECK_PAUSE_MS);
		runOnLoop(this.server::closeExpiredConnections);
	}

	// Guards against a part of a response that looks whole to a caller that has taken
	// nothing of it for too long.
	@Test
	void responseOfStalledCallerIsReset() throws Exception {
		InputStream in = send("HTTP/1.0");
		Thread.sleep(CHECK_PAUSE_MS);
		closeExpiredConnections();
		assertThatThrownBy(in::readAllBytes).hasMessage("Connection reset");
	}

	// Guards against the same when the host ends while the response is being written.
	@Test
	void responseIsResetWhenHostEnds() throws Exception {
		InputStream in = send("HTTP/1.0");
		runOnLoop(this.server::close);
		assertThatThrownBy(in::readAllBytes).hasMessage("Connection reset");
	}

	// Guards against a reset of a response that was written as a whole.
	@Test
	void writtenResponseEndsRegularly() throws Exception {
		this.body = SHORT_BODY;
		InputStream in = send("HTTP/1.0");
		runOnLoop(this.server::close);
		assertThat(in.readAllBytes()).isNotEmpty();
	}

	private final class StreamHandler implements RequestHandler {

		@Override
		public ActiveRequest handle(IncomingRequest request, ResponseChannel channel) {
			channel.startStream(HttpResponseStatus.OK, EmptyHttpHeaders.INSTANCE);
			channel.write(UnfinishedResponseTests.this.body);
			channel.endStream();
			return ActiveRequest.NONE;
		}

		@Override
		public IngressLimits limits() {
			IngressLimits defaults = IngressLimits.DEFAULTS;
			return new IngressLimits(defaults.maxHeaderBytes(), defaults.maxBodyBytes(), defaults.headerTimeout(),
					IDLE_TIMEOUT);
		}

	}

}
