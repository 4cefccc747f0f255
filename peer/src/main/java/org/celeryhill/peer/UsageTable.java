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
	private static final int NEIGHBOUR_SENDS = 2;

	/**
	 * Times that each process sends sums on to processes near it. Sums enter a data
	 * centre at many processes, so one is enough.
	 */
	private static final int NEIGHBOUR_AGGREGATE_SENDS = 1;

	/**
	 * Times that each process sends an item on to other processes. All processes of a
	 * data centre together reach every other data centre.
	 */
	private static final int REMOTE_SENDS = 1;

	/** Items in one digest. */
	private static final int MAX_DIGEST_ITEMS = 8;

	/** Time between items of one process, per process near it, in nanoseconds. */
	private static final long INTERVAL_PER_NEIGHBOUR_NANOS = 500_000_000L;

	/** Longest time between items of one process, in nanoseconds. */
	private static final long MAX_INTERVAL_NANOS = 12_000_000_000L;

	/** Incarnations of an origin of which the highest sequence is remembered. */
	private static final int MAX_INCARNATIONS = 8;

	/** Items by origin. */
	private final Map<String, OriginEntry> entries = new HashMap<>();

	/** Sums for the data centre of this process since it became the aggregator. */
	private final Map<UsageTotals.Key, Long> aggregate = new HashMap<>();

	/** Totals of the last item of each process that the sums contain. */
	private final Map<String, UsageTotals> aggregatedTotals = new HashMap<>();

	/** Members of this process's surroundings. */
	private final MembershipTable members;

	/** Latest totals of this process. */
	private Optional<UsageTotals> ownTotals = Optional.empty();

	/** Sequence of the own totals that were offered last. */
	private long ownOfferedSequence = -1;

	/** Monotonic time at which the own totals were offered last, in nanoseconds. */
	private long ownOfferedNanos;

	/** Monotonic time at which the sums were offered last, in nanoseconds. */
	private long aggregateOfferedNanos;

	/** Sequence of the sums. */
	private long aggregateSequence;

	/** Whether this process aggregates. */
	private boolean isAggregator;

	UsageTable(MembershipTable members, long nowNanos) {
		this.members = members;
		this.ownOfferedNanos = nowNanos - MAX_INTERVAL_NANOS;
		this.aggregateOfferedNanos = nowNanos;
	}

	/**
	 * Sets the totals of this process.
	 * @param totals the totals
	 */
	void setOwnTotals(UsageTotals totals) {
		this.ownTotals = Optional.of(totals);
	}

	/**
	 * Starts a gossip round: offers the own totals and the sums when they are due.
	 * @param nowNanos the monotonic time in nanoseconds
	 */
	void startRound(long nowNanos) {
		offerOwnTotals(nowNanos);
		boolean wasAggregator = this.isAggregator;
		this.isAggregator = this.members.isAggregator(nowNanos);
		if (this.isAggregator && !wasAggregator) {
			this.aggregate.clear();
			resetAggregatedTotals();
		}
		if (this.isAggregator && nowNanos - this.aggregateOfferedNanos >= MAX_INTERVAL_NANOS) {
			offerAggregate(nowNanos);
		}
	}

	private void offerOwnTotals(long nowNanos) {
		long interval = Math.min(MAX_INTERVAL_NANOS, this.members.neighbourCount() * INTERVAL_PER_NEIGHBOUR_NANOS);
		if (this.ownTotals.isEmpty() || nowNanos - this.ownOfferedNanos < interval) {
			return;
		}
		UsageTotals totals = this.ownTotals.get();
		if (totals.sequence() == this.ownOfferedSequence) {
			return;
		}
		this.ownOfferedSequence = totals.sequence();
		this.ownOfferedNanos = nowNanos;
		storeIfNewer(toItem(totals, false), "");
	}

	// A new aggregator starts from zero under its own id, so that its totals only grow.
	private void resetAggregatedTotals() {
		this.aggregatedTotals.clear();
		for (OriginEntry entry : this.entries.values()) {
			if (isOfOwnDataCentre(entry.item)) {
				this.aggregatedTotals.put(entry.item.getHost(), toTotals(entry.item));
			}
		}
	}

	private boolean isOfOwnDataCentre(UsageItem item) {
		return !item.isIsAggregate() && item.getDataCentre().equals(this.members.self().getDataCentre());
	}

	private void offerAggregate(long nowNanos) {
		this.aggregateOfferedNanos = nowNanos;
		this.aggregateSequence++;
		String host = this.members.self().getHost();
		String incarnation = Long.toString(this.members.self().getGeneration());
		UsageTotals totals = new UsageTotals(HostId.of(host), DataCentre.of(this.members.self().getDataCentre()),
				incarnation, this.aggregateSequence, this.aggregate);
		storeIfNewer(toItem(totals, true), "");
	}

	/**
	 * Takes an item.
	 * @param item the item
	 * @param sender the process that it came from
	 * @return the totals if they are new and are to be handed out here: those of other
	 * processes near this one, and those of other data centres that are not near
	 */
	Optional<UsageTotals> receive(UsageItem item, String sender) {
		if (!storeIfNewer(item, sender)) {
			return Optional.empty();
		}
		boolean isNeighbour = this.members.isNeighbourDataCentre(item.getDataCentre());
		boolean isRelevant = item.isIsAggregate() ? !isNeighbour : isNeighbour;
		return isRelevant ? Optional.of(toTotals(item)) : Optional.empty();
	}

	private boolean storeIfNewer(UsageItem item, String sender) {
		String origin = item.isIsAggregate() ? "dc " + item.getDataCentre() : "host " + item.getHost();
		OriginEntry entry = this.entries.get(origin);
		if (entry == null) {
			entry = new OriginEntry();
			this.entries.put(origin, entry);
		}
		if (!entry.storeIfNewer(item, sender)) {
			return false;
		}
		if (isOfOwnDataCentre(item)) {
			addToAggregate(toTotals(item));
		}
		return true;
	}

	private void addToAggregate(UsageTotals totals) {
		UsageTotals previous = this.aggregatedTotals.put(totals.host().value(), totals);
		boolean isSameIncarnation = previous != null && previous.incarnation().equals(totals.incarnation());
		totals.tokens().forEach((key, tokens) -> {
			long previousTokens = isSameIncarnation ? previous.tokens().getOrDefault(key, 0L) : 0;
			this.aggregate.merge(key, Math.max(0, tokens - previousTokens), Long::sum);
		});
	}

	/**
	 * Returns items to send and counts them as sent once.
	 * @param receiver the process to send to, or null for an unknown one; items that came
	 * from it are left out
	 * @param isNeighbour whether the receiver is near; others get only sums
	 * @return the items, those sent least first
	 */
	List<UsageItem> selectItems(String receiver, boolean isNeighbour) {
		List<OriginEntry> pending = new ArrayList<>();
		for (OriginEntry entry : this.entries.values()) {
			boolean isRelevant = (isNeighbour || entry.item.isIsAggregate()) && !entry.source.equals(receiver);
			if (isRelevant && entry.sendsLeft(isNeighbour) > 0) {
				pending.add(entry);
			}
		}
		pending.sort(Comparator.comparingInt((OriginEntry entry) -> entry.sendsLeft(isNeighbour)).reversed());
		List<UsageItem> items = new ArrayList<>();
		for (OriginEntry entry : pending.subList(0, Math.min(MAX_DIGEST_ITEMS, pending.size()))) {
			entry.countSend(isNeighbour);
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
	private static final class OriginEntry {

		/** Highest sequence by incarnation, oldest incarnation first. */
		private final Map<String, Long> sequences = new LinkedHashMap<>();

		/** Latest item. */
		private UsageItem item;

		/** Process that the item came from. */
		private String source = "";

		/** Times that the item is still to be sent to processes near this one. */
		private int neighbourSendsLeft;

		/** Times that the item is still to be sent to other processes. */
		private int remoteSendsLeft;

		private int sendsLeft(boolean isNeighbour) {
			return isNeighbour ? this.neighbourSendsLeft : this.remoteSendsLeft;
		}

		private void countSend(boolean isNeighbour) {
			this.neighbourSendsLeft -= isNeighbour ? 1 : 0;
			this.remoteSendsLeft -= isNeighbour ? 0 : 1;
		}

		private boolean storeIfNewer(UsageItem next, String from) {
			if (!isNewer(next)) {
				return false;
			}
			this.item = next;
			this.source = from;
			this.neighbourSendsLeft = next.isIsAggregate() ? NEIGHBOUR_AGGREGATE_SENDS : NEIGHBOUR_SENDS;
			this.remoteSendsLeft = REMOTE_SENDS;
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
			if (this.sequences.size() > MAX_INCARNATIONS) {
				this.sequences.remove(this.sequences.keySet().iterator().next());
			}
			return true;
		}

		private static String incarnationOf(UsageItem item) {
			return item.getHost() + "#" + item.getIncarnation();
		}

	}

}
