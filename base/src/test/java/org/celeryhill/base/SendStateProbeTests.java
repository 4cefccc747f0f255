package org.celeryhill.base;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.time.Duration;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests of {@link SendStateProbe} on connections over the loopback interface.
 */
@Timeout(30)
class SendStateProbeTests {

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/**
	 * More than the server accepts unread, less than the client's system accepts.
	 */
	private static final int LONG_REQUEST_BYTES = 262_144;

	private static final Duration SETTLE_TIME = Duration.ofSeconds(5);

	private final ServerSocket listener = new ServerSocket();

	private SocketChannel client;

	private Socket server;

	private SendStateProbe probe;

	SendStateProbeTests() throws IOException {
		// The fields are set for each test.
	}

	@BeforeEach
	void connect() throws IOException {
		this.listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
		this.listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.client = SocketChannel.open(this.listener.getLocalSocketAddress());
		this.server = this.listener.accept();
		this.client.configureBlocking(false);
		this.probe = SendStateProbe.open();
	}

	@AfterEach
	void close() throws IOException {
		this.probe.close();
		this.client.close();
		this.server.close();
		this.listener.close();
	}

	private void write(int bytes) throws IOException {
		ByteBuffer request = ByteBuffer.allocate(bytes);
		this.client.write(request);
		assertThat(request.hasRemaining()).as("the system accepts the request at once").isFalse();
	}

	private void reset() throws IOException {
		this.server.setSoLinger(true, 0);
		this.server.close();
	}

	private void readEnd() throws Exception {
		ByteBuffer buffer = ByteBuffer.allocate(1);
		int count;
		while ((count = this.client.read(buffer)) == 0) {
			Thread.sleep(1);
		}
		assertThat(count).isNegative();
	}

	private void awaitState(SendState state) throws Exception {
		long end = System.nanoTime() + SETTLE_TIME.toNanos();
		while (this.probe.probe(this.client) != state && System.nanoTime() < end) {
			Thread.sleep(1);
		}
		assertThat(this.probe.probe(this.client)).isEqualTo(state);
	}

	// Guards against a reset that the regular end before it hides from the reader.
	@Test
	void findsResetBehindRegularEnd() throws Exception {
		write(LONG_REQUEST_BYTES);
		this.server.shutdownOutput();
		readEnd();
		assertThat(this.probe.isReset(this.client)).isFalse();
		assertThat(this.probe.probe(this.client)).isEqualTo(SendState.PENDING);
		reset();
		awaitState(SendState.RESET);
		assertThat(this.probe.isReset(this.client)).isTrue();
		assertThat(this.client.read(ByteBuffer.allocate(1))).as("reads show the end only").isNegative();
	}

	// Guards against a request that counts as being on its way after it was read.
	@Test
	void findsDeliveryOfReadRequest() throws Exception {
		write(LONG_REQUEST_BYTES);
		this.server.getInputStream().readNBytes(LONG_REQUEST_BYTES);
		this.server.close();
		readEnd();
		awaitState(SendState.DELIVERED);
	}

	// Guards against a regular end that is taken for a reset.
	@Test
	void regularEndWithoutRequestIsDelivered() throws Exception {
		this.server.shutdownOutput();
		readEnd();
		assertThat(this.probe.isReset(this.client)).isFalse();
		assertThat(this.probe.probe(this.client)).isEqualTo(SendState.DELIVERED);
	}

	// Guards against a connection that stays open in the system because the probe keeps
	// it registered.
	@Test
	void connectionIsClosedAfterProbe() throws Exception {
		this.probe.probe(this.client);
		this.client.close();
		assertThat(this.server.getInputStream().read()).isNegative();
		assertThatThrownBy(() -> this.probe.probe(this.client)).isInstanceOf(IOException.class);
	}

}
