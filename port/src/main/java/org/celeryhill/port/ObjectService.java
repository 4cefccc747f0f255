package org.celeryhill.port;

/**
 * The object store of the platform. Objects are immutable once written, so that a put of
 * the same bytes can be repeated safely. Calls block up to the timeout of the
 * implementation. Implementations are thread-safe and never throw for a failure of the
 * service.
 */
public interface ObjectService {

	/**
	 * Stores an object under a name.
	 * @param name the name, not null
	 * @param bytes the content, not null
	 * @return the outcome
	 */
	PutResult put(String name, byte[] bytes);

	/**
	 * Reads an object.
	 * @param name the name, not null
	 * @return the content, {@link Missing}, or {@link GetFailed} if the service did not
	 * respond
	 */
	GetResult get(String name);

	/** Result of a put. */
	enum PutResult {

		/** The object is stored with these bytes. */
		STORED,

		/** The name already belongs to an object with other bytes. */
		DIFFERENT,

		/** The object may or may not be stored; the put can be repeated. */
		UNKNOWN

	}

	/** Result of a get. */
	sealed interface GetResult permits Content, Missing, GetFailed {

	}

	/**
	 * The object was found.
	 *
	 * @param bytes the content, not null; not copied, callers must not change it
	 */
	record Content(byte[] bytes) implements GetResult {

	}

	/**
	 * No object has the requested name.
	 *
	 * @param name the requested name, not null
	 */
	record Missing(String name) implements GetResult {

	}

	/**
	 * The service did not respond.
	 *
	 * @param reason a short text for log lines, not null
	 */
	record GetFailed(String reason) implements GetResult {

	}

}
