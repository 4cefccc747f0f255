package org.celeryhill.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import javax.net.SocketFactory;

/**
 * Creates {@link EndCheckingSocket sockets} that tell a reset behind the regular end of a
 * connection. Thread-safe.
 */
final class EndCheckingSocketFactory extends SocketFactory {

	/** The only instance, so that clients share their connections. */
	static final SocketFactory INSTANCE = new EndCheckingSocketFactory();

	private EndCheckingSocketFactory() {
	}

	@Override
	public Socket createSocket() throws IOException {
		return EndCheckingSocket.create();
	}

	@Override
	public Socket createSocket(String host, int port) throws IOException {
		return connect(createSocket(), new InetSocketAddress(host, port));
	}

	@Override
	public Socket createSocket(String host, int port, InetAddress localHost, int localPort) throws IOException {
		return connect(bind(localHost, localPort), new InetSocketAddress(host, port));
	}

	@Override
	public Socket createSocket(InetAddress host, int port) throws IOException {
		return connect(createSocket(), new InetSocketAddress(host, port));
	}

	@Override
	public Socket createSocket(InetAddress host, int port, InetAddress localHost, int localPort) throws IOException {
		return connect(bind(localHost, localPort), new InetSocketAddress(host, port));
	}

	private Socket bind(InetAddress localHost, int localPort) throws IOException {
		Socket socket = createSocket();
		socket.bind(new InetSocketAddress(localHost, localPort));
		return socket;
	}

	private static Socket connect(Socket socket, InetSocketAddress address) throws IOException {
		socket.connect(address);
		return socket;
	}

}
