package review2;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/**
 * A machine is restarted as planned, another one takes over the orders to the engines, and
 * then the store comes back from a copy of some seconds before. Exits with 1 if the orders
 * to an engine break the rule ONE.
 */
public final class LeaseAfterDrill {

	private static final int MACHINES = 7;

	/** Time for which the first holder gives orders before it is restarted. */
	private static final long REIGN_MS = 9000;

	/** Time from the SIGTERM back to the copy. */
	private static final long COPY_BEFORE_TERM_MS = 500;

	private static final long AWAY_MS = 500;

	private static final long WATCH_MS = 12_000;

	private LeaseAfterDrill() {
	}

	public static void main(String[] arguments) throws Exception {
		boolean isTrouble = !"0".equals(System.getenv("TROUBLE"));
		int exit = 2;
		try (Site site = new Site(Path.of(arguments[0]))) {
			exit = run(site, isTrouble);
			site.record.log("EXIT %d", exit);
		}
		System.exit(exit);
	}

	private static int run(Site site, boolean isTrouble) throws Exception {
		Record record = site.record;
		var configuration = Site.configuration(7, "booking-desk");
		Site.addRoute(configuration, "r-letter", "/letter/", "streaming", "drafting-desk");
		Site.addRoute(configuration, "r-book", "/book/", "non_idempotent", "booking-desk");
		site.store.put("op", "config", configuration);
		site.addEngines("drafting-desk", 2, Site.MODEL);
		site.addEngines("booking-desk", 3, null);
		if (!site.startDaemons(MACHINES)) {
			return cannotRun(record, "a machine did not become ready");
		}
		startClients(site);
		Engine.Order first = awaitOrder(site, "", 20_000);
		if (first == null) {
			return cannotRun(record, "no order");
		}
		Thread.sleep(REIGN_MS);
		List<Engine.Order> before = site.engines.get(0).orders();
		String holder = before.get(before.size() - 1).holder();
		long termMillis = record.now();
		site.daemons.stream().filter((daemon) -> daemon.name.equals(holder)).findFirst().orElseThrow().terminate();
		Engine.Order next = awaitOrder(site, holder, 15_000);
		if (next == null) {
			return cannotRun(record, "no order of another holder");
		}
		Thread.sleep(1000);
		if (isTrouble) {
			record.log("DRILL: copy of %d ms ago, away for %d ms", record.now() - termMillis + COPY_BEFORE_TERM_MS,
					AWAY_MS);
			site.store.leave();
			Thread.sleep(AWAY_MS);
			site.store.comeBack(termMillis - COPY_BEFORE_TERM_MS);
		}
		Thread.sleep(WATCH_MS);
		return check(site);
	}

	private static int cannotRun(Record record, String reason) {
		record.log("CANNOT RUN: %s", reason);
		System.out.println("cannot run: " + reason);
		return 2;
	}

	private static void startClients(Site site) {
		Random random = new Random(7);
		for (int i = 0; i < 4; i++) {
			site.repeat("client", 60, () -> {
				Daemon daemon = site.daemons.get(random.nextInt(site.daemons.size()));
				if (!Site.isReady(daemon)) {
					return;
				}
				String id = Client.attemptId();
				String model = Site.MODEL + "/a" + (1 + random.nextInt(Site.ADAPTERS));
				String headers = "X-Attempt-Id: " + id + "\r\nX-Model: " + model + "\r\nX-Token-Counts: 100,8\r\n"
						+ "X-Prompt-Prefix: " + id.substring(0, 8) + ":100\r\nX-Deadline-Ms: 5000\r\n";
				site.record.log("SENT %s %s to %s", id, model, daemon.name);
				Client.Answer answer = Client.send(daemon.front, "POST", "/letter/1", headers, "{}", 6000);
				site.record.log("ANSWERED %s %d", id, answer.status());
			});
		}
	}

	// Waits for an order of a holder other than the given one.
	private static Engine.Order awaitOrder(Site site, String holder, long millis) throws InterruptedException {
		long end = site.record.now() + millis;
		while (site.record.now() < end) {
			for (Engine engine : site.engines) {
				for (Engine.Order order : engine.orders()) {
					if (!order.holder().equals(holder)) {
						return order;
					}
				}
			}
			Thread.sleep(50);
		}
		return null;
	}

	private static int check(Site site) {
		int exit = 0;
		for (Engine engine : site.engines) {
			for (Map.Entry<Long, Set<String>> use : engine.holdersByToken().entrySet()) {
				if (use.getValue().size() > 1) {
					exit = 1;
					report(site, "BROKEN ONE: engine " + engine.id + " got orders with token " + use.getKey()
							+ " from the holders " + use.getValue());
				}
			}
			Engine.Order last = null;
			for (Engine.Order order : engine.orders()) {
				if (last != null && order.token() < last.token()) {
					exit = 1;
					report(site, "BROKEN ONE: engine " + engine.id + " got token " + order.token() + " of "
							+ order.holder() + " at " + order.atMillis() + " after token " + last.token() + " of "
							+ last.holder() + " at " + last.atMillis());
				}
				if (last != null && !order.holder().equals(last.holder())
						&& order.atMillis() - last.atMillis() < 3000) {
					exit = 1;
					report(site, "BROKEN ONE: engine " + engine.id + " got orders of " + last.holder() + " at "
							+ last.atMillis() + " and of " + order.holder() + " at " + order.atMillis()
							+ ", within lease_ms");
				}
				last = order;
			}
		}
		report(site, (exit == 0) ? "ONE held" : "ONE broken");
		return exit;
	}

	private static void report(Site site, String text) {
		site.record.log("%s", text);
		System.out.println(text);
	}

}
