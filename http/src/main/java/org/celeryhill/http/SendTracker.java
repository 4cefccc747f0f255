package org.celeryhill.http;

import java.io.IOException;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Records whether bytes of a request may have been sent, and whether writing it failed.
 * It is attached to the OkHttp request as a tag. Thread-safe.
 */
final class SendTracker {

	/** Whether the client has started to write the request to a connection. */
	private volatile boolean isPossiblySent;

	private volatile boolean isWriteFailed;

	/**
	 * Returns whether bytes of the request may have been sent.
	 * @return false if certainly no byte was sent
	 */
	boolean isPossiblySent() {
		return this.isPossiblySent;
	}

	/**
	 * Returns whether the connection failed while the request was being written. OkHttp
	 * then still reads the response, whose end may be that of the failed connection.
	 * @return true if the request was not written as a whole
	 */
	boolean isWriteFailed() {
		return this.isWriteFailed;
	}

	/**
	 * Returns a factory of event listeners that update the tracker of each request of a
	 * client.
	 * @return the factory, never null
	 */
	static EventListener.Factory createListenerFactory() {
		return (call) -> {
			SendTracker tracker = call.request().tag(SendTracker.class);
			return (tracker != null) ? new Listener(tracker) : EventListener.NONE;
		};
	}

	/** Listener that updates the tracker of one call. */
	private static final class Listener extends EventListener {

		private final SendTracker tracker;

		Listener(SendTracker tracker) {
			this.tracker = tracker;
		}

		@Override
		public void requestHeadersStart(Call call) {
			this.tracker.isPossiblySent = true;
		}

		@Override
		public void requestFailed(Call call, IOException ex) {
			this.tracker.isWriteFailed = true;
		}

	}

}
