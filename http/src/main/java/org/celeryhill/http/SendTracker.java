package org.celeryhill.http;

import okhttp3.Call;
import okhttp3.EventListener;

/**
 * Learns whether bytes of a request can have left this process. It is attached to a
 * request as a tag. Thread-safe.
 */
final class SendTracker {

	/** Whether the client has started to write the request to a connection. */
	private volatile boolean isSent;

	/**
	 * Returns whether bytes of the request can have left.
	 * @return false if certainly none has
	 */
	boolean isSent() {
		return this.isSent;
	}

	/**
	 * Returns the listener factory that feeds the trackers of the requests of a client.
	 * @return the factory, never null
	 */
	static EventListener.Factory listenerFactory() {
		return (call) -> {
			SendTracker tracker = call.request().tag(SendTracker.class);
			return (tracker != null) ? new Listener(tracker) : EventListener.NONE;
		};
	}

	/** Listener of one call. */
	private static final class Listener extends EventListener {

		/** Tracker of the call's request. */
		private final SendTracker tracker;

		Listener(SendTracker tracker) {
			this.tracker = tracker;
		}

		@Override
		public void requestHeadersStart(Call call) {
			this.tracker.isSent = true;
		}

	}

}
