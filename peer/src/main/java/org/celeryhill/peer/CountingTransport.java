package org.celeryhill.peer;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Transport that counts the bytes of another one.
 */
final class CountingTransport extends TTransport {

	/** Transport that does the work. */
	private final TTransport transport;

	/** Counters. */
	private final ByteCounters counters;

	CountingTransport(TTransport transport, ByteCounters counters) {
		this.transport = transport;
		this.counters = counters;
	}

	@Override
	public boolean isOpen() {
		return this.transport.isOpen();
	}

	@Override
	public void open() throws TTransportException {
		this.transport.open();
	}

	@Override
	public void close() {
		this.transport.close();
	}

	@Override
	public int read(byte[] buffer, int offset, int length) throws TTransportException {
		int count = this.transport.read(buffer, offset, length);
		this.counters.addReceived(Math.max(0, count));
		return count;
	}

	@Override
	public void write(byte[] buffer, int offset, int length) throws TTransportException {
		this.transport.write(buffer, offset, length);
		this.counters.addSent(length);
	}

	@Override
	public void flush() throws TTransportException {
		this.transport.flush();
	}

	@Override
	public TConfiguration getConfiguration() {
		return this.transport.getConfiguration();
	}

	@Override
	public void updateKnownMessageSize(long size) throws TTransportException {
		this.transport.updateKnownMessageSize(size);
	}

	@Override
	public void checkReadBytesAvailable(long size) throws TTransportException {
		this.transport.checkReadBytesAvailable(size);
	}

}
