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
 * Usage totals of the neighbours of this process, and aggregates of other data centres.
 * Each new item is forwarded a few times; a later item of the same origin replaces it.
 * Not thread-safe.
 */
final class UsageTable {

	/**
	 * Number of times that each process forwards the totals of one process to neighbours.
	 */
	private static final int NEIGHBOUR_SENDS = 2;

	/**
	 * Number of times that each process forwards an aggregate to neighbours. Since an
	 * aggregate enters a data centre through many processes, one is enough.
	 */
	private static final int NEIGHBOUR_AGGREGATE_SENDS = 1;

	/**
	 * Number of times that each process forwards an item to processes that are not
	 * neighbours. All processes of a data centre together reach every other data centre.
	 */
	private static final int REMOTE_SENDS = 1;

	/** Maximum number of items in a digest. */
	private static final int MAX_DIGEST_ITEMS = 8;

	/**
	 * Interval between items of one process for each of its neighbours, in nanoseconds.
	 */
	private static final long INTERVAL_PER_NEIGHBOUR_NANOS = 500_000_000L;

	/** Maximum interval between items of one process, in nanoseconds. */
	private static final long MAX_INTERVAL_NANOS = 12_000_000_000L;

	/** Number of incarnations of an origin whose highest sequence number is kept. */
	private static final int MAX_INCARNATIONS = 8;

	/** Latest items by origin. */
	private final Map<String, OriginEntry> entries = new HashMap<>();

	/**
	 * Aggregate for the data centre of this process, counted since this process became
	 * its aggregator.
	 */
	private final Map<UsageTotals.Key, Long> aggregate = new HashMap<>();

	/**
	 * Latest totals of each process of the data centre that are included in the
	 * aggregate.
	 */
	private final Map<String, UsageTotals> aggregatedTotals = new HashMap<>();

	/** Members known to this process. */
	private final MembershipTable members;

	/** Latest usage totals of this process. */
	private Optional<UsageTotals> ownTotals = Optional.empty();

	/** Sequence number of the totals of this process that were offered last. */
	private long ownOfferedSequence = -1;

	/**
	 * Monotonic time at which the totals of this process were offered last, in
	 * nanoseconds.
	 */
	private long ownOfferedNanos;

	/** Monotonic time at which the aggregate was offered last, in nanoseconds. */
	private long aggregateOfferedNanos;

	/** Sequence number of the aggregate. */
	private long aggregateSequence;

	/** Whether this process is the aggregator of its data centre. */
	private boolean isAggregator;

	UsageTable(MembershipTable members, long nowNanos) {
		this.members = members;
		this.ownOfferedNanos = nowNanos - MAX_INTERVAL_NANOS;
		this.aggregateOfferedNanos = nowNanos;
	}

	/**
	 * Sets the usage totals of this process.
	 * @param totals the totals
	 */
	void setOwnTotals(UsageTotals totals) {
		this.ownTotals = Optional.of(totals);
	}

	/**
	 * Starts a gossip round: offers the totals of this process and the aggregate when
	 * they are due.
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

	// A new aggregator starts from zero under its own host id, so that its totals only
	// grow.
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
	 * Merges an item from a peer.
	 * @param item the item
	 * @param sender the host id of the process that sent it
	 * @return the totals if they are new and relevant for this process: totals of
	 * neighbours, and aggregates of data centres that are not neighbours
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
	 * Returns items to send and counts each of them as sent once.
	 * @param receiver the host id of the receiver, or null if it is unknown; items that
	 * came from the receiver are omitted
	 * @param isNeighbour whether the receiver is a neighbour; other processes get only
	 * aggregates
	 * @return the items, starting with those that were sent least often
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
		// The prefix distinguishes the aggregate of a data centre from the totals of the
		// aggregator itself.
		String host = item.isIsAggregate() ? "sum:" + item.getDataCentre() + ":" + item.getHost() : item.getHost();
		return new UsageTotals(HostId.of(host), DataCentre.of(item.getDataCentre()), item.getIncarnation(),
				item.getSequence(), tokens);
	}

	/**
	 * Latest item of one origin, with the number of times that it is still to be sent.
	 */
	private static final class OriginEntry {

		/** Highest sequence number by incarnation, oldest incarnation first. */
		private final Map<String, Long> sequences = new LinkedHashMap<>();

		private UsageItem item;

		/** Host id of the process that sent the item. */
		private String source = "";

		/** Number of times that the item is still to be sent to neighbours. */
		private int neighbourSendsLeft;

		/** Number of times that the item is still to be sent to other processes. */
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

		// Highest sequence numbers are kept by incarnation, since two processes of a data
		// centre can both consider themselves its aggregator for a while.
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
