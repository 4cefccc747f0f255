package org.celeryhill.entry;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import org.celeryhill.http.ClientSettings;
import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.http.HttpHostList;
import org.celeryhill.http.HttpObjectService;
import org.celeryhill.http.HttpTableService;
import org.celeryhill.http.LogSetup;
import org.celeryhill.http.ProcessSignals;
import org.celeryhill.http.SettingsChecks;
import org.celeryhill.peer.PeerSettings;
import org.celeryhill.peer.ThriftPeerNode;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficTunables;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Main class of the entry daemon. The process runs until SIGTERM or SIGINT and then stops
 * gracefully with exit status 0. With invalid settings it exits at once with status 2.
 */
@Command(name = "celeryhill-entry", mixinStandardHelpOptions = true,
		description = "Authenticates, admits and routes requests of callers, and streams the responses.")
public final class EntryMain implements Callable<Integer> {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(EntryMain.class);

	/** Maximum number of idle connections to backend servers that are kept open. */
	private static final int IDLE_CONNECTIONS = 256;

	/** Settings from flags and environment variables. */
	@Mixin
	private EntrySettings settings = new EntrySettings();

	/**
	 * Runs the daemon and exits with its status.
	 * @param args the command-line flags, not null
	 */
	public static void main(String[] args) {
		System.exit(command().execute(args));
	}

	static CommandLine command() {
		CommandLine command = new CommandLine(new EntryMain());
		command.setDefaultValueProvider(new EnvironmentDefaults());
		return command;
	}

	@Override
	public Integer call() throws InterruptedException {
		SettingsChecks checks = this.settings.validate();
		checks.print(new PrintWriter(System.err, true));
		if (!checks.isValid()) {
			return SettingsChecks.EXIT_STATUS;
		}
		LogSetup.install(this.settings.isVerbose ? Level.FINE : Level.INFO);
		CountDownLatch stopSignal = new CountDownLatch(1);
		ProcessSignals.handle("TERM", stopSignal::countDown);
		ProcessSignals.handle("INT", stopSignal::countDown);
		EntryDaemon daemon = new EntryDaemon(this.settings, createDependencies(this.settings));
		daemon.start();
		LOG.info("entry_started", "host", this.settings.hostId, "api", daemon.apiUri(), "admin", daemon.adminUri());
		stopSignal.await();
		daemon.stop();
		return 0;
	}

	/**
	 * Returns the external dependencies of a daemon, as configured.
	 * @param settings the valid settings, not null
	 * @return the dependencies, never null
	 */
	static DaemonDependencies createDependencies(EntrySettings settings) {
		TimerService timer = SystemTimerService.create();
		Dispatcher dispatcher = new Dispatcher();
		OkHttpClient client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(IDLE_CONNECTIONS, 1, java.util.concurrent.TimeUnit.MINUTES))
			.build();
		ClientSettings limits = ClientSettings.defaults()
			.withConnectTimeout(settings.connectTimeout)
			.withResponseTimeout(settings.storeTimeout);
		String incarnation = UUID.randomUUID().toString().substring(0, 8);
		DefaultTrafficController traffic = DefaultTrafficController.create(HostId.of(settings.hostId),
				DataCentre.of(settings.dataCentre), incarnation, settings.hostId.hashCode(), TrafficTunables.DEFAULTS);
		return new DaemonDependencies(timer, HttpTableService.create(settings.tableUrl, client, limits),
				HttpObjectService.create(settings.objectUrl, client, limits),
				HttpHostList.create(settings.hostListUrl, client, limits), new HttpBackendFactory(client, limits),
				traffic, createPeerFactory(settings, timer));
	}

	/**
	 * Returns the factory of the daemon's peer node.
	 * @param settings the valid settings, not null
	 * @param timer the clock and timers, not null
	 * @return the factory, empty if the daemon runs without peers, never null
	 */
	static Optional<PeerFactory> createPeerFactory(EntrySettings settings, TimerService timer) {
		if (settings.peerPort == 0) {
			return Optional.empty();
		}
		PeerSettings self = PeerSettings.of(HostId.of(settings.hostId),
				new InetSocketAddress(settings.address, settings.peerPort), DataCentre.of(settings.dataCentre),
				Region.of(settings.region), timer.instant().toEpochMilli());
		return Optional.of((seeds) -> ThriftPeerNode.create(self, timer, seeds));
	}

}
