package org.celeryhill.port;

/**
 * The object store of the platform. Objects are written once and never changed, so that a
 * repeated put of the same bytes is harmless. Calls block up to the timeout of the
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
	 * @return the content, its absence, or that the service could not be asked
	 */
	GetResult get(String name);

	/** Result of a put. */
	enum PutResult {

		/** The object is stored with these bytes. */
		STORED,

		/** An object with other bytes has the name. */
		DIFFERENT,

		/** The object may or may not be stored; the put can be repeated. */
		UNKNOWN

	}

	/** Result of a get. */
	sealed interface GetResult permits Content, Missing, GetFailed {

	}

	/**
	 * The object.
	 *
	 * @param bytes the content, not null; not copied, callers must not change it
	 */
	record Content(byte[] bytes) implements GetResult {

	}

	/**
	 * No object has the name.
	 *
	 * @param name the name that was asked for, not null
	 */
	record Missing(String name) implements GetResult {

	}

	/**
	 * The service gave no answer.
	 *
	 * @param reason a short text for logs, not null
	 */
	record GetFailed(String reason) implements GetResult {

	}

}
