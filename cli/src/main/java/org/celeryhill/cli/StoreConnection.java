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
 * Flags that name the platform's services, and the stores behind them. Each flag has an
 * environment variable. Not thread-safe.
 */
final class StoreConnection {

	/** Tries of one operation of the stores. */
	private static final int TRIES = 3;

	/** Time for display and for pauses between tries. */
	private final TimerService timer = SystemTimerService.create();

	/** Client of all services. */
	private final OkHttpClient client = new OkHttpClient();

	/** Address of the table service. */
	@Option(names = "--table-url", required = true,
			description = "Base URL of the table service (CELERYHILL_TABLE_URL).")
	private URI tableUrl;

	/** Address of the object service. */
	@Option(names = "--object-url", required = true,
			description = "Base URL of the object service (CELERYHILL_OBJECT_URL).")
	private URI objectUrl;

	/** Address of the host list. */
	@Option(names = "--host-list-url", description = "Base URL of the host list (CELERYHILL_HOST_LIST_URL).")
	private URI hostListUrl;

	TableService table() {
		return HttpTableService.create(this.tableUrl, this.client, ClientSettings.defaults());
	}

	ConditionalWriter writer() {
		RetryPolicy retries = RetryPolicy.blocking(this.timer, TRIES, java.time.Duration.ofMillis(100));
		return ConditionalWriter.create(table(), AttemptIds.random(), retries);
	}

	ConfigurationStore configuration() {
		HttpObjectService objects = HttpObjectService.create(this.objectUrl, this.client, ClientSettings.defaults());
		return ConfigurationStore.create(writer(), objects, this.timer,
				(document) -> RevisionParser.parse(document).findings());
	}

	PlannedStopStore stops() {
		return PlannedStopStore.create(writer(), this.timer);
	}

	/**
	 * Reads the host list.
	 * @return the entries, empty if no host list is named or it gave no answer
	 */
	Optional<List<HostList.Entry>> hosts() {
		return (this.hostListUrl != null)
				? HttpHostList.create(this.hostListUrl, this.client, ClientSettings.defaults()).read()
				: Optional.empty();
	}

	/**
	 * Returns the adapter of an engine.
	 * @param entry the engine in the host list
	 * @return the adapter
	 */
	Engine engine(HostList.Entry entry) {
		return HttpEngine.create(entry.id(), entry.address(), this.client, ClientSettings.defaults());
	}

	/**
	 * Ends idle connections, so that the process can exit at once.
	 */
	void close() {
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
	}

}
