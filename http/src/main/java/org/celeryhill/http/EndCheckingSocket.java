package org.celeryhill.http;

import java.io.FilterInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.net.SocketAddress;
import java.net.SocketException;
import java.nio.channels.SocketChannel;

import org.celeryhill.base.ConnectionEnd;
import org.celeryhill.base.SendStateProbe;

/**
 * Socket whose reader gets an exception if the regular end of the connection is followed
 * by a reset. The system of a server that crashes may end its connection regularly, and
 * resets it when further bytes of the request arrive; the end then hides the reset from
 * reads. A reader waits for the reset while bytes of the request are on their way.
 * Thread-safe like a socket.
 */
final class EndCheckingSocket extends Socket {

	private final SocketChannel channel;

	private final Socket socket;

	private EndCheckingSocket(SocketChannel channel) {
		this.channel = channel;
		this.socket = channel.socket();
	}

	/**
	 * Creates a socket that is not connected.
	 * @return the socket, never null
	 * @throws IOException if the system provides no socket
	 */
	static EndCheckingSocket create() throws IOException {
		return new EndCheckingSocket(SocketChannel.open());
	}

	@Override
	public void connect(SocketAddress endpoint) throws IOException {
		this.socket.connect(endpoint);
	}

	@Override
	public void connect(SocketAddress endpoint, int timeout) throws IOException {
		this.socket.connect(endpoint, timeout);
	}

	@Override
	public void bind(SocketAddress local) throws IOException {
		this.socket.bind(local);
	}

	@Override
	public InputStream getInputStream() throws IOException {
		return new EndCheckingStream(this.socket.getInputStream());
	}

	@Override
	public OutputStream getOutputStream() throws IOException {
		return this.socket.getOutputStream();
	}

	@Override
	public void setSoTimeout(int timeout) throws SocketException {
		this.socket.setSoTimeout(timeout);
	}

	@Override
	public int getSoTimeout() throws SocketException {
		return this.socket.getSoTimeout();
	}

	@Override
	public void setTcpNoDelay(boolean on) throws SocketException {
		this.socket.setTcpNoDelay(on);
	}

	@Override
	public boolean getTcpNoDelay() throws SocketException {
		return this.socket.getTcpNoDelay();
	}

	@Override
	public void setKeepAlive(boolean on) throws SocketException {
		this.socket.setKeepAlive(on);
	}

	@Override
	public boolean getKeepAlive() throws SocketException {
		return this.socket.getKeepAlive();
	}

	@Override
	public void setSoLinger(boolean on, int linger) throws SocketException {
		this.socket.setSoLinger(on, linger);
	}

	@Override
	public int getSoLinger() throws SocketException {
		return this.socket.getSoLinger();
	}

	@Override
	public InetAddress getInetAddress() {
		return this.socket.getInetAddress();
	}

	@Override
	public InetAddress getLocalAddress() {
		return this.socket.getLocalAddress();
	}

	@Override
	public int getPort() {
		return this.socket.getPort();
	}

	@Override
	public int getLocalPort() {
		return this.socket.getLocalPort();
	}

	@Override
	public SocketAddress getRemoteSocketAddress() {
		return this.socket.getRemoteSocketAddress();
	}

	@Override
	public SocketAddress getLocalSocketAddress() {
		return this.socket.getLocalSocketAddress();
	}

	@Override
	public boolean isConnected() {
		return this.socket.isConnected();
	}

	@Override
	public boolean isBound() {
		return this.socket.isBound();
	}

	@Override
	public boolean isClosed() {
		return this.socket.isClosed();
	}

	@Override
	public void shutdownInput() throws IOException {
		this.socket.shutdownInput();
	}

	@Override
	public void shutdownOutput() throws IOException {
		this.socket.shutdownOutput();
	}

	@Override
	public boolean isInputShutdown() {
		return this.socket.isInputShutdown();
	}

	@Override
	public boolean isOutputShutdown() {
		return this.socket.isOutputShutdown();
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

	@Override
	public String toString() {
		return this.socket.toString();
	}

	// Waits until the end is certain. Nothing is read or written meanwhile.
	private void checkEnd() throws IOException {
		this.channel.configureBlocking(false);
		try (SendStateProbe probe = SendStateProbe.open()) {
			awaitCertainEnd(probe);
		}
		finally {
			this.channel.configureBlocking(true);
		}
	}

	private void awaitCertainEnd(SendStateProbe probe) throws IOException {
		ConnectionEnd end = ConnectionEnd.at(System.nanoTime(), ConnectionEnd.MIN_ROUND_TRIP);
		ConnectionEnd.Verdict verdict;
		while ((verdict = end.judge(probe.probe(this.channel), System.nanoTime())) == ConnectionEnd.Verdict.UNDECIDED) {
			pause();
		}
		if (verdict == ConnectionEnd.Verdict.RESET) {
			throw new SocketException("Connection reset behind its end");
		}
	}

	private static void pause() throws SocketException {
		try {
			Thread.sleep(ConnectionEnd.LOOK_PERIOD.toMillis());
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new SocketException("Interrupted at the end of the connection");
		}
	}

	/** Stream that checks the end before its reader gets it. */
	private final class EndCheckingStream extends FilterInputStream {

		private boolean isEndChecked;

		EndCheckingStream(InputStream in) {
			super(in);
		}

		@Override
		public int read() throws IOException {
			return checked(super.read());
		}

		@Override
		public int read(byte[] bytes, int offset, int length) throws IOException {
			return checked(super.read(bytes, offset, length));
		}

		private int checked(int result) throws IOException {
			if (result < 0 && !this.isEndChecked) {
				checkEnd();
				this.isEndChecked = true;
			}
			return result;
		}

		@Override
		public void close() throws IOException {
			EndCheckingSocket.this.close();
		}

	}

}
