package org.celeryhill.traffic;

import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.UsageTotals;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Tests of the share of a daemon in the limits.
 */
class UsageTrackerTests {

	private static final UsageTotals.Key KEY = new UsageTotals.Key(OrganisationId.of("a"), PriorityClass.NORMAL);

	private static final int PEERS = 9;

	private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

	private static final int TOKENS_PER_STEP = 300;

	private final UsageTracker tracker = new UsageTracker(HostId.of("own"), DataCentre.of("d"), "1",
			TimeUnit.SECONDS.toNanos(5));

	private long now = 1;

	private long chargedTokens;

	// Guards against daemons that together use more than each limit, because they take
	// the sum of all other daemons for one daemon.
	@Test
	void shareIsTheSameForSumOfPeersAsForEachPeer() {
		for (int step = 1; step <= 20; step++) {
			this.now += STEP_NANOS;
			this.tracker.addOwnUsage(KEY, TOKENS_PER_STEP, this.now);
			this.tracker.recordGroupTotals(totals("holder", "1", step, (long) PEERS * TOKENS_PER_STEP * step), PEERS,
					this.now, this::charge);
		}
		assertThat(share()).isCloseTo(1.0 / (PEERS + 1), within(0.01));
		assertThat(this.chargedTokens).isEqualTo((long) PEERS * TOKENS_PER_STEP * 19);
	}

	// Guards against a daemon that takes the whole of each limit when another daemon
	// begins to report the sum.
	@Test
	void shareIsKeptWhenAnotherDaemonReportsSum() {
		shareIsTheSameForSumOfPeersAsForEachPeer();
		long charged = this.chargedTokens;
		this.tracker.recordGroupTotals(totals("next", "7", 1, 5), PEERS, this.now, this::charge);
		assertThat(share()).isCloseTo(1.0 / (PEERS + 1), within(0.01));
		assertThat(this.chargedTokens).isEqualTo(charged);
	}

	private double share() {
		return this.tracker.share((organisation) -> 1, this.now);
	}

	private void charge(UsageTotals.Key key, double tokens) {
		this.chargedTokens += (long) tokens;
	}

	private static UsageTotals totals(String host, String incarnation, long sequence, long tokens) {
		return new UsageTotals(HostId.of(host), DataCentre.of("d"), incarnation, sequence, Map.of(KEY, tokens));
	}

}
