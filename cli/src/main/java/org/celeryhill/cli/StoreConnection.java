package org.celeryhill.cli;

import java.net.URI;
import java.util.List;
import java.util.Optional;

import okhttp3.OkHttpClient;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import org.celeryhill.config.RevisionParser;
import org.celeryhill.http.ClientSettings;
import org.celeryhill.http.HttpEngine;
import org.celeryhill.http.HttpHostList;
import org.celeryhill.http.HttpObjectService;
import org.celeryhill.http.HttpTableService;
import org.celeryhill.port.Engine;
import org.celeryhill.port.HostList;
import org.celeryhill.port.TableService;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.PlannedStopStore;
import org.celeryhill.state.RetryPolicy;
import picocli.CommandLine.Option;

/**
 * Flags with the addresses of the platform's services, and the clients and stores that
 * use them. Each flag can also be set by an environment variable. Not thread-safe.
 */
final class StoreConnection {

	/** Most attempts of one store operation. */
	private static final int MAX_ATTEMPTS = 3;

	/** Clock for recorded times and for pauses between attempts. */
	private final TimerService timer = SystemTimerService.create();

	/** HTTP client that all services share. */
	private final OkHttpClient client = new OkHttpClient();

	/** Base URL of the table service. */
	@Option(names = "--table-url", required = true,
			description = "Base URL of the table service (CELERYHILL_TABLE_URL).")
	private URI tableUrl;

	/** Base URL of the object service. */
	@Option(names = "--object-url", required = true,
			description = "Base URL of the object service (CELERYHILL_OBJECT_URL).")
	private URI objectUrl;

	/** Base URL of the host list, null if it is not used. */
	@Option(names = "--host-list-url", description = "Base URL of the host list (CELERYHILL_HOST_LIST_URL).")
	private URI hostListUrl;

	TableService table() {
		return HttpTableService.create(this.tableUrl, this.client, ClientSettings.defaults());
	}

	ConditionalWriter writer() {
		RetryPolicy retryPolicy = RetryPolicy.blocking(this.timer, MAX_ATTEMPTS, java.time.Duration.ofMillis(100));
		return ConditionalWriter.create(table(), AttemptIds.random(), retryPolicy);
	}

	ConfigurationStore configurationStore() {
		HttpObjectService objects = HttpObjectService.create(this.objectUrl, this.client, ClientSettings.defaults());
		return ConfigurationStore.create(writer(), objects, this.timer,
				(document) -> RevisionParser.parse(document).findings());
	}

	PlannedStopStore plannedStops() {
		return PlannedStopStore.create(writer(), this.timer);
	}

	/**
	 * Reads the host list.
	 * @return the entries, empty if no URL was given or the host list did not respond
	 */
	Optional<List<HostList.Entry>> hosts() {
		return (this.hostListUrl != null)
				? HttpHostList.create(this.hostListUrl, this.client, ClientSettings.defaults()).read()
				: Optional.empty();
	}

	/**
	 * Creates the client of an engine.
	 * @param entry the entry of the engine in the host list
	 * @return the client
	 */
	Engine engine(HostList.Entry entry) {
		return HttpEngine.create(entry.id(), entry.address(), this.client, ClientSettings.defaults());
	}

	/**
	 * Closes the HTTP client, as its threads and idle connections would delay the exit of
	 * the process.
	 */
	void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

}
