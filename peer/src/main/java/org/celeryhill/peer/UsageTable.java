package org.celeryhill.peer;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.peerthrift.OrganisationUsage;
import org.celeryhill.peerthrift.UsageItem;

/**
 * Usage totals of processes near this one and of other data centres as a whole. Each new
 * item is sent on a few times; a later one of the same origin replaces it. Not
 * thread-safe.
 */
final class UsageTable {

	/** Times that each process sends totals of one process on to processes near it. */
	private static final int NEAR_SENDS = 2;

	/**
	 * Times that each process sends sums on to processes near it. Sums enter a data
	 * centre at many processes, so one is enough.
	 */
	private static final int NEAR_SUM_SENDS = 1;

	/**
	 * Times that each process sends an item on to other processes. All processes of a
	 * data centre together reach every other data centre.
	 */
	private static final int FAR_SENDS = 1;

	/** Items in one digest. */
	private static final int ITEMS = 8;

	/** Time between items of one process, per process near it, in nanoseconds. */
	private static final long PER_NEAR_NANOS = 500_000_000L;

	/** Longest time between items of one process, in nanoseconds. */
	private static final long LONGEST_NANOS = 12_000_000_000L;

	/** Incarnations of an origin of which the highest sequence is remembered. */
	private static final int INCARNATIONS = 8;

	/** Items by origin. */
	private final Map<String, Entry> entries = new HashMap<>();

	/** Sums for the data centre of this process since it became the aggregator. */
	private final Map<UsageTotals.Key, Long> sums = new HashMap<>();

	/** Totals of the last item of each process that the sums contain. */
	private final Map<String, UsageTotals> counted = new HashMap<>();

	/** Members of this process's surroundings. */
	private final MembershipTable members;

	/** Latest totals of this process. */
	private Optional<UsageTotals> own = Optional.empty();

	/** Sequence of the own totals that were offered last. */
	private long offeredSequence = -1;

	/** Monotonic time at which the own totals were offered last, in nanoseconds. */
	private long ownNanos;

	/** Monotonic time at which the sums were offered last, in nanoseconds. */
	private long sumsNanos;

	/** Sequence of the sums. */
	private long sumsSequence;

	/** Whether this process aggregates. */
	private boolean isAggregator;

	UsageTable(MembershipTable members, long nowNanos) {
		this.members = members;
		this.ownNanos = nowNanos - LONGEST_NANOS;
		this.sumsNanos = nowNanos;
	}

	/**
	 * Sets the totals of this process.
	 * @param totals the totals
	 */
	void publish(UsageTotals totals) {
		this.own = Optional.of(totals);
	}

	/**
	 * Starts a gossip round: offers the own totals and the sums when they are due.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void startRound(long nowNanos) {
		offerOwn(nowNanos);
		boolean wasAggregator = this.isAggregator;
		this.isAggregator = this.members.isAggregator(nowNanos);
		if (this.isAggregator && !wasAggregator) {
			this.sums.clear();
			rebase();
		}
		if (this.isAggregator && nowNanos - this.sumsNanos >= LONGEST_NANOS) {
			offerSums(nowNanos);
		}
	}

	private void offerOwn(long nowNanos) {
		long interval = Math.min(LONGEST_NANOS, this.members.nearCount() * PER_NEAR_NANOS);
		if (this.own.isEmpty() || nowNanos - this.ownNanos < interval) {
			return;
		}
		UsageTotals totals = this.own.get();
		if (totals.sequence() == this.offeredSequence) {
			return;
		}
		this.offeredSequence = totals.sequence();
		this.ownNanos = nowNanos;
		offer(toItem(totals, false), "");
	}

	// A new aggregator starts from zero under its own id, so that its totals only grow.
	private void rebase() {
		this.counted.clear();
		for (Entry entry : this.entries.values()) {
			if (isOfOwnDataCentre(entry.item)) {
				this.counted.put(entry.item.getHost(), toTotals(entry.item));
			}
		}
	}

	private boolean isOfOwnDataCentre(UsageItem item) {
		return !item.isIsAggregate() && item.getDataCentre().equals(this.members.self().getDataCentre());
	}

	private void offerSums(long nowNanos) {
		this.sumsNanos = nowNanos;
		this.sumsSequence++;
		String host = this.members.self().getHost();
		String incarnation = Long.toString(this.members.self().getGeneration());
		UsageTotals totals = new UsageTotals(HostId.of(host), DataCentre.of(this.members.self().getDataCentre()),
				incarnation, this.sumsSequence, this.sums);
		offer(toItem(totals, true), "");
	}

	/**
	 * Takes an item.
	 * @param item the item
	 * @param sender the process that it came from
	 * @return the totals if they are new and are to be handed out here: those of other
	 * processes near this one, and those of other data centres that are not near
	 */
	Optional<UsageTotals> receive(UsageItem item, String sender) {
		if (!offer(item, sender)) {
			return Optional.empty();
		}
		boolean isNear = this.members.isNearDataCentre(item.getDataCentre());
		boolean isWanted = item.isIsAggregate() ? !isNear : isNear;
		return isWanted ? Optional.of(toTotals(item)) : Optional.empty();
	}

	private boolean offer(UsageItem item, String sender) {
		String origin = item.isIsAggregate() ? "dc " + item.getDataCentre() : "host " + item.getHost();
		Entry entry = this.entries.get(origin);
		if (entry == null) {
			entry = new Entry();
			this.entries.put(origin, entry);
		}
		if (!entry.offer(item, sender)) {
			return false;
		}
		if (isOfOwnDataCentre(item)) {
			count(toTotals(item));
		}
		return true;
	}

	private void count(UsageTotals totals) {
		UsageTotals before = this.counted.put(totals.host().value(), totals);
		boolean isSame = before != null && before.incarnation().equals(totals.incarnation());
		totals.tokens().forEach((key, tokens) -> {
			long old = isSame ? before.tokens().getOrDefault(key, 0L) : 0;
			this.sums.merge(key, Math.max(0, tokens - old), Long::sum);
		});
	}

	/**
	 * Returns items to send and counts them as sent once.
	 * @param receiver the process to send to, or null for an unknown one; items that came
	 * from it are left out
	 * @param isNear whether the receiver is near; others get only sums
	 * @return the items, those sent least first
	 */
	List<UsageItem> toSend(String receiver, boolean isNear) {
		List<Entry> pending = new ArrayList<>();
		for (Entry entry : this.entries.values()) {
			boolean isWanted = (isNear || entry.item.isIsAggregate()) && !entry.source.equals(receiver);
			if (isWanted && entry.sendsLeft(isNear) > 0) {
				pending.add(entry);
			}
		}
		pending.sort(Comparator.comparingInt((Entry entry) -> entry.sendsLeft(isNear)).reversed());
		List<UsageItem> items = new ArrayList<>();
		for (Entry entry : pending.subList(0, Math.min(ITEMS, pending.size()))) {
			entry.sent(isNear);
			items.add(entry.item);
		}
		return items;
	}

	private static UsageItem toItem(UsageTotals totals, boolean isAggregate) {
		Map<String, EnumMap<PriorityClass, Long>> byOrganisation = new TreeMap<>();
		totals.tokens()
			.forEach((key, tokens) -> byOrganisation
				.computeIfAbsent(key.organisation().value(), (id) -> new EnumMap<>(PriorityClass.class))
				.put(key.priority(), tokens));
		List<OrganisationUsage> usage = new ArrayList<>();
		byOrganisation.forEach((organisation, byClass) -> {
			List<Long> tokens = new ArrayList<>();
			for (PriorityClass priority : PriorityClass.values()) {
				tokens.add(byClass.getOrDefault(priority, 0L));
			}
			usage.add(new OrganisationUsage(organisation, tokens));
		});
		return new UsageItem(totals.host().value(), totals.dataCentre().value(), totals.incarnation(),
				totals.sequence(), usage, isAggregate);
	}

	private static UsageTotals toTotals(UsageItem item) {
		Map<UsageTotals.Key, Long> tokens = new LinkedHashMap<>();
		for (OrganisationUsage usage : item.getOrganisations()) {
			int classes = Math.min(PriorityClass.values().length, usage.getTokens().size());
			for (int i = 0; i < classes; i++) {
				OrganisationId organisation = OrganisationId.of(usage.getOrganisation());
				tokens.put(new UsageTotals.Key(organisation, PriorityClass.values()[i]), usage.getTokens().get(i));
			}
		}
		// The prefix keeps the sums of a data centre apart from the aggregator's own
		// totals.
		String host = item.isIsAggregate() ? "sum:" + item.getDataCentre() + ":" + item.getHost() : item.getHost();
		return new UsageTotals(HostId.of(host), DataCentre.of(item.getDataCentre()), item.getIncarnation(),
				item.getSequence(), tokens);
	}

	/** Latest item of one origin. */
	private static final class Entry {

		/** Highest sequence by incarnation, oldest incarnation first. */
		private final Map<String, Long> sequences = new LinkedHashMap<>();

		/** Latest item. */
		private UsageItem item;

		/** Process that the item came from. */
		private String source = "";

		/** Times that the item is still to be sent to processes near this one. */
		private int nearSendsLeft;

		/** Times that the item is still to be sent to other processes. */
		private int farSendsLeft;

		private int sendsLeft(boolean isNear) {
			return isNear ? this.nearSendsLeft : this.farSendsLeft;
		}

		private void sent(boolean isNear) {
			this.nearSendsLeft -= isNear ? 1 : 0;
			this.farSendsLeft -= isNear ? 0 : 1;
		}

		private boolean offer(UsageItem next, String from) {
			if (!isNewer(next)) {
				return false;
			}
			this.item = next;
			this.source = from;
			this.nearSendsLeft = next.isIsAggregate() ? NEAR_SUM_SENDS : NEAR_SENDS;
			this.farSendsLeft = FAR_SENDS;
			return true;
		}

		// Highest sequences are kept by incarnation, since two processes of a data centre
		// can both believe to be its aggregator for a while.
		private boolean isNewer(UsageItem next) {
			String incarnation = incarnationOf(next);
			Long highest = this.sequences.get(incarnation);
			if (highest != null && next.getSequence() <= highest) {
				return false;
			}
			this.sequences.put(incarnation, next.getSequence());
			if (this.sequences.size() > INCARNATIONS) {
				this.sequences.remove(this.sequences.keySet().iterator().next());
			}
			return true;
		}

		private static String incarnationOf(UsageItem item) {
			return item.getHost() + "#" + item.getIncarnation();
		}

	}

}
