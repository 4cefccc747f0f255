package org.celeryhill.peer;

import org.apache.thrift.TConfiguration;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.TTransportException;

/**
 * Transport that delegates to another one and counts the bytes read and written.
 */
final class CountingTransport extends TTransport {

	/** Transport to which all operations are delegated. */
	private final TTransport delegate;

	private final TransportCounters counters;

	CountingTransport(TTransport delegate, TransportCounters counters) {
		this.delegate = delegate;
		this.counters = counters;
	}

	@Override
	public boolean isOpen() {
		return this.delegate.isOpen();
	}

	@Override
	public void open() throws TTransportException {
		this.delegate.open();
	}

	@Override
	public void close() {
		this.delegate.close();
	}

	@Override
	public int read(byte[] buffer, int offset, int length) throws TTransportException {
		int count = this.delegate.read(buffer, offset, length);
		this.counters.addReceivedBytes(Math.max(0, count));
		return count;
	}

	@Override
	public void write(byte[] buffer, int offset, int length) throws TTransportException {
		this.delegate.write(buffer, offset, length);
		this.counters.addSentBytes(length);
	}

	@Override
	public void flush() throws TTransportException {
		this.delegate.flush();
	}

	@Override
	public TConfiguration getConfiguration() {
		return this.delegate.getConfiguration();
	}

	@Override
	public void updateKnownMessageSize(long size) throws TTransportException {
		this.delegate.updateKnownMessageSize(size);
	}

	@Override
	public void checkReadBytesAvailable(long size) throws TTransportException {
		this.delegate.checkReadBytesAvailable(size);
	}

}
