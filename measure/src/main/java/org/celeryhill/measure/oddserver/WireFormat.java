package org.celeryhill.measure.oddserver;

import java.util.ServiceLoader;

import org.celeryhill.forward.ExchangeHeaders;
import org.celeryhill.forward.HeaderCodec;

/**
 * The headers between callers, the entry host and backend servers, as the platform
 * adapter defines them.
 *
 * @param codec decodes and encodes headers on the entry host, not null
 * @param headers encodes the headers of callers and backend servers, not null
 */
record WireFormat(HeaderCodec codec, ExchangeHeaders headers) {

	/**
	 * Loads the wire format of the platform adapter.
	 * @return the wire format
	 * @throws IllegalStateException if no platform adapter is on the class path
	 */
	static WireFormat load() {
		return new WireFormat(find(HeaderCodec.class), find(ExchangeHeaders.class));
	}

	private static <T> T find(Class<T> type) {
		return ServiceLoader.load(type)
			.findFirst()
			.orElseThrow(() -> new IllegalStateException("no " + type.getSimpleName() + " on the class path"));
	}

}
