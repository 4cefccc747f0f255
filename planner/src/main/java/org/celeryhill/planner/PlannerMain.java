package org.celeryhill.planner;

import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;

import okhttp3.OkHttpClient;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.HostId;
import org.celeryhill.base.Region;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import org.celeryhill.http.ClientSettings;
import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.http.HttpEngine;
import org.celeryhill.http.HttpHostList;
import org.celeryhill.http.HttpObjectService;
import org.celeryhill.http.HttpPlainService;
import org.celeryhill.http.HttpTableService;
import org.celeryhill.http.LogSetup;
import org.celeryhill.http.ProcessSignals;
import org.celeryhill.http.SettingsChecks;
import org.celeryhill.peer.PeerSettings;
import org.celeryhill.peer.ThriftPeerNode;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Main class of the planner daemon. The process runs until SIGTERM or SIGINT, then
 * releases its leases and exits with status 0. Invalid settings make it exit at once with
 * status 2.
 */
@Command(name = "celeryhill-planner", mixinStandardHelpOptions = true,
		description = "Plans which engine holds which model, and sends commands to engines.")
public final class PlannerMain implements Callable<Integer> {

	private static final EventLog LOG = EventLog.of(PlannerMain.class);

	@Mixin
	private PlannerSettings settings = new PlannerSettings();

	/**
	 * Runs the planner daemon and exits with its status.
	 * @param args the command-line flags, not null
	 */
	public static void main(String[] args) {
		CommandLine command = new CommandLine(new PlannerMain());
		command.setDefaultValueProvider(new EnvironmentDefaults());
		System.exit(command.execute(args));
	}

	@Override
	public Integer call() throws InterruptedException {
		SettingsChecks checks = this.settings.check();
		checks.print(new PrintWriter(System.err, true));
		if (!checks.isValid()) {
			return SettingsChecks.EXIT_STATUS;
		}
		LogSetup.install((this.settings.isVerbose) ? Level.FINE : Level.INFO);
		CountDownLatch stopSignal = new CountDownLatch(1);
		ProcessSignals.handle("TERM", stopSignal::countDown);
		ProcessSignals.handle("INT", stopSignal::countDown);
		PlannerDaemon daemon = new PlannerDaemon(this.settings, createPorts());
		daemon.start();
		stopSignal.await();
		daemon.stop();
		LOG.info("planner_stopped", "host", this.settings.hostId);
		return 0;
	}

	// The entry daemon on the same host is a separate process that joins under the plain
	// host id, so the planner adds a suffix to it.
	private SeededPeerNode createPeerNode(TimerService timer) {
		PeerSeeds seeds = new PeerSeeds(this.settings.parsePeerSeeds().orElseThrow(),
				List.of(this.settings.entryPeerPort, this.settings.peerPort));
		PeerSettings peerSettings = PeerSettings.of(HostId.of(this.settings.hostId + "/planner"),
				new InetSocketAddress(this.settings.address, this.settings.peerPort),
				DataCentre.of(this.settings.dataCentre), Region.of(this.settings.region),
				timer.instant().toEpochMilli());
		return new SeededPeerNode(ThriftPeerNode.create(peerSettings, timer, seeds), seeds);
	}

	private PlannerPorts createPorts() {
		OkHttpClient client = new OkHttpClient();
		ClientSettings limits = ClientSettings.defaults()
			.withConnectTimeout(this.settings.connectTimeout)
			.withResponseTimeout(this.settings.storeTimeout);
		TimerService timer = SystemTimerService.create();
		return new PlannerPorts(timer, HttpTableService.create(this.settings.tableUrl, client, limits),
				HttpObjectService.create(this.settings.objectUrl, client, limits),
				HttpHostList.create(this.settings.hostListUrl, client, limits),
				(entry) -> HttpEngine.create(entry.id(), entry.address(), client, limits),
				(entry) -> HttpPlainService.create(entry.id(), entry.address(), client, limits),
				Optional.of(createPeerNode(timer)));
	}

}
