package org.celeryhill.entry;

import org.celeryhill.port.Engine;
import org.celeryhill.port.HostList;
import org.celeryhill.port.PlainService;

/**
 * Creates adapters for entries of the host list. Thread-safe.
 */
public interface BackendFactory {

	/**
	 * Returns an adapter for generations.
	 * @param entry an engine or a host of the legacy serving system, not null
	 * @return the adapter, never null
	 */
	Engine engine(HostList.Entry entry);

	/**
	 * Returns an adapter for calls of a plain service.
	 * @param entry a plain service or a host of the legacy serving system, not null
	 * @return the adapter, never null
	 */
	PlainService plainService(HostList.Entry entry);

}
