package review2;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * The operator changes the configuration, the store comes back from a copy of some seconds
 * before, and the operator moves a route to another service. Exits with 1 if requests are
 * still run by the old service later than config_apply_ms after the acknowledgement.
 */
public final class ConfigAfterDrill {

	private static final int MACHINES = 7;

	private static final long COPY_AGE_MS = 8000;

	private static final long AWAY_MS = 1000;

	/** The store is stable again and machines are in touch after contact_ms. */
	private static final long CONTACT_MS = 3000;

	private static final long CONFIG_APPLY_MS = 2000;

	private static final long WATCH_MS = 20_000;

	private record Sent(String id, String machine, long atMillis, Client.Answer answer) {
	}

	private ConfigAfterDrill() {
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

	private static ObjectNode configuration(long version, String bookService, int timeoutMs) {
		ObjectNode root = Site.configuration(version, "booking-desk", "booking-desk-new");
		Site.addRoute(root, "r-letter", "/letter/", "streaming", "drafting-desk");
		Site.addRoute(root, "r-book", "/book/", "non_idempotent", bookService);
		((ObjectNode) root.path("routes").get(1)).put("timeout_ms", timeoutMs);
		return root;
	}

	private static int run(Site site, boolean isTrouble) throws Exception {
		Record record = site.record;
		site.store.put("op", "config", configuration(7, "booking-desk", 1200));
		site.addEngines("drafting-desk", 8, Site.MODEL);
		site.addEngines("booking-desk", 3, null);
		site.addEngines("booking-desk-new", 3, null);
		if (!site.startDaemons(MACHINES)) {
			record.log("CANNOT RUN: a machine did not become ready");
			return 2;
		}
		List<Sent> answers = new ArrayList<>();
		startClients(site, answers);
		Thread.sleep(11_000);
		site.store.put("op", "config", configuration(9, "booking-desk", 1100));
		record.log("OPERATOR version 9 (timeout of /book/) acknowledged, store version %d", site.store.version());
		Thread.sleep(2500);
		if (isTrouble) {
			record.log("DRILL: copy of %d ms ago, away for %d ms", COPY_AGE_MS, AWAY_MS);
			long copyMillis = record.now() - COPY_AGE_MS;
			site.store.leave();
			Thread.sleep(AWAY_MS);
			site.store.comeBack(copyMillis);
		}
		Thread.sleep(CONTACT_MS + 200);
		site.store.put("op", "config", configuration(12, "booking-desk-new", 1100));
		long acknowledged = record.now();
		record.log("OPERATOR version 12 (/book/ moves to booking-desk-new) acknowledged, store version %d",
				site.store.version());
		Thread.sleep(WATCH_MS);
		return check(site, answers, acknowledged);
	}

	private static void startClients(Site site, List<Sent> answers) {
		Random random = new Random(7);
		for (int i = 0; i < 3; i++) {
			site.repeat("client", 100, () -> {
				Daemon daemon = site.daemons.get(random.nextInt(site.daemons.size()));
				String id = Client.attemptId();
				long sent = site.record.now();
				site.record.log("SENT %s to %s", id, daemon.name);
				Client.Answer answer = Client.send(daemon.front, "POST", "/book/1",
						"X-Attempt-Id: " + id + "\r\nX-Deadline-Ms: 2500\r\n", "{}", 3000);
				site.record.log("ANSWERED %s %d %s", id, answer.status(),
						answer.text().substring(answer.text().lastIndexOf('\n') + 1));
				synchronized (answers) {
					answers.add(new Sent(id, daemon.name, sent, answer));
				}
			});
		}
	}

	private static int check(Site site, List<Sent> answers, long acknowledged) {
		int old = 0;
		int moved = 0;
		long last = 0;
		synchronized (answers) {
			for (Sent sent : answers) {
				if (sent.atMillis() <= acknowledged + CONFIG_APPLY_MS || sent.answer().status() != 200) {
					continue;
				}
				if (sent.answer().text().contains("booking-desk " + sent.id())) {
					old++;
					last = sent.atMillis();
				}
				else {
					moved++;
				}
			}
		}
		String text = (old > 0) ? "BROKEN CONFIG: " + old
				+ " requests sent later than config_apply_ms after the acknowledgement at " + acknowledged
				+ " ms were run by the old service, the last one sent at " + last + " ms; by the new service: " + moved
				: "CONFIG held: requests run by the new service: " + moved;
		site.record.log("%s", text);
		System.out.println(text);
		if (old == 0 && moved == 0) {
			return 2;
		}
		return (old > 0) ? 1 : 0;
	}

}
