package org.celeryhill.forward;

/**
 * The use of a connection by one exchange.
 *
 * @param connection number of the connection, unique within the process
 * @param use number of the exchange on the connection, from 1
 */
record ConnectionUse(long connection, int use) {

	@Override
	public String toString() {
		return this.connection + "." + this.use;
	}

}
