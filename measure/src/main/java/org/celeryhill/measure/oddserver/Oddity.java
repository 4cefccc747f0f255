package org.celeryhill.measure.oddserver;

/**
 * A way to answer oddly.
 */
enum Oddity {

	/** Sends the response twice in one write. */
	REPEATED_AT_ONCE {
		@Override
		void respond(ServedExchange exchange) {
			exchange.write(exchange.response() + exchange.response());
			exchange.connection().markExtraBytes();
		}
	},

	/** Sends the response again some milliseconds after it. */
	REPEATED_LATER {
		@Override
		void respond(ServedExchange exchange) {
			exchange.write(exchange.response());
			exchange.connection().writeLater(exchange.response(), exchange.decision().repeatDelay());
		}
	},

	/** Sends the response again when the next request has arrived. */
	REPEATED_BEFORE_NEXT {
		@Override
		void respond(ServedExchange exchange) {
			exchange.write(exchange.response());
			exchange.connection().writeBeforeNext(exchange.response());
		}
	},

	/** Sends a part of the response and closes the connection. */
	TRUNCATED {
		@Override
		void respond(ServedExchange exchange) {
			String response = exchange.response();
			int length = 1 + (int) (exchange.decision().fraction() * (response.length() - 1));
			exchange.write(response.substring(0, Math.min(length, response.length() - 1)));
			exchange.connection().close();
		}
	},

	/** Sends the response without length or chunks and closes the connection. */
	UNFRAMED {
		@Override
		void respond(ServedExchange exchange) {
			exchange.write(exchange.responseWithoutLength());
			exchange.connection().close();
		}
	},

	/** Sends the response before the body of the request has been read. */
	EARLY {
		@Override
		boolean isEarly() {
			return true;
		}

		@Override
		void respond(ServedExchange exchange) {
			exchange.write(exchange.response());
		}
	},

	/** Sends bytes that are no response right behind the response. */
	GARBAGE {
		@Override
		void respond(ServedExchange exchange) {
			int length = 1 + (int) (exchange.decision().fraction() * MAX_GARBAGE_BYTES);
			exchange.write(exchange.response() + "#".repeat(length));
			exchange.connection().markExtraBytes();
		}
	},

	/** Sends a sound response that announces the end of the connection. */
	CLOSED {
		@Override
		void respond(ServedExchange exchange) {
			exchange.write(exchange.responseWithClose());
			exchange.connection().close();
		}
	};

	private static final int MAX_GARBAGE_BYTES = 40;

	/**
	 * Writes the response.
	 * @param exchange the request with its decision
	 */
	abstract void respond(ServedExchange exchange);

	/**
	 * Returns whether the response is sent when the head of the request has been read.
	 * @return whether it does not wait for the body
	 */
	boolean isEarly() {
		return false;
	}

}
