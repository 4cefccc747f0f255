package org.celeryhill.fuzz;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.state.AppliedRevision;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.state.StoreUnavailable;

/**
 * Promise: of several operators with the same expected head one wins; what was refused is
 * never accepted; an accepted revision never changes; a daemon never goes back to a lower
 * one, although peers send old revisions late and twice.
 */
class ConfigurationWorld extends World {

	/** Ids of all processes. */
	private final java.util.function.Supplier<AttemptId> ids = AttemptIds.sequential("id");

	/** Operators. */
	private final List<Operator> operators = new ArrayList<>();

	/** Daemons. */
	private final List<Daemon> daemons = new ArrayList<>();

	/** Revisions on the way between daemons. */
	private final List<RevisionDocument> messages = new ArrayList<>();

	/** Digest by number, as told to any operator or daemon. */
	private final Map<Long, String> accepted = new HashMap<>();

	/** Digests of proposals that were refused for good. */
	private final Set<String> refused = new HashSet<>();

	/** Reads the head for the oracle. */
	private long highestHead;

	/** Number of the next document. */
	private int nextDocument;

	ConfigurationWorld() {
		addTarget(FakeObjectService.TARGET);
		for (int i = 0; i < 3; i++) {
			this.operators.add(new Operator("operator-" + i));
			this.daemons.add(new Daemon());
		}
	}

	@Override
	Map<String, Integer> actions() {
		return Map.of("look", 15, "propose", 25, "repeat", 8, "poll", 15, "publish", 12, "deliver", 20, "crash", 2);
	}

	@Override
	void run(Step step) {
		Operator operator = this.operators.get(step.a() % this.operators.size());
		Daemon daemon = this.daemons.get(step.a() % this.daemons.size());
		switch (step.action()) {
			case "look" -> operator.look();
			case "propose" -> operator.proposeNew(step.c());
			case "repeat" -> operator.repeat();
			case "poll" -> daemon.poll();
			case "publish" -> daemon.publish();
			case "deliver" -> deliver(daemon, step.b(), step.c() % 3 == 0);
			case "crash" -> daemon.restart();
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	private void deliver(Daemon daemon, int index, boolean isKept) {
		if (this.messages.isEmpty()) {
			return;
		}
		int number = index % this.messages.size();
		RevisionDocument message = (isKept) ? this.messages.get(number) : this.messages.remove(number);
		daemon.receive(message);
	}

	@Override
	void check() {
		this.table.peek(ConfigurationStore.HEAD).ifPresent((row) -> {
			require(row.version() >= this.highestHead, "the head went back to version " + row.version());
			this.highestHead = row.version();
		});
	}

	@Override
	void finish() {
		heal();
		long head = -1;
		for (Daemon daemon : this.daemons) {
			daemon.poll();
			require(head < 0 || head == daemon.state.applied(), "daemons have applied different revisions");
			head = daemon.state.applied();
			if (daemon.store.readHead() instanceof ConfigurationStore.Head read) {
				require(read.head().number() == head, "the head is not applied");
				read.head().recent().forEach((one) -> observeAccepted(one.number(), one.digest()));
			}
		}
	}

	/**
	 * Returns whether a daemon applies a revision. Broken variants replace this.
	 * @param state what the daemon has applied and knows
	 * @param number the number of the revision
	 * @return true to apply it
	 */
	protected boolean isApplied(AppliedRevision state, long number) {
		return state.canApply(number);
	}

	/**
	 * Returns whether an operator takes a proposal as refused for good. Broken variants
	 * replace this.
	 * @param result the result
	 * @return true if it is refused
	 */
	protected boolean isRefused(ConfigurationStore.ProposeResult result) {
		boolean isUnavailable = result instanceof StoreUnavailable failed && !failed.isOutcomeUnknown();
		return isUnavailable || result instanceof ConfigurationStore.HeadConflict;
	}

	private ConfigurationStore newStore(BooleanSupplier isAlive) {
		return ConfigurationStore.create(
				ConditionalWriter.create(processTable(isAlive), this.ids, RetryPolicy.immediate()), this.objects,
				this.timer, (document) -> List.of());
	}

	private void observeAccepted(long number, String digest) {
		String earlier = this.accepted.putIfAbsent(number, digest);
		require(earlier == null || earlier.equals(digest), "revision " + number + " has two contents");
		require(!this.refused.contains(digest), "revision " + number + " was refused and is accepted");
	}

	/** An operator with the command-line interface. */
	private final class Operator {

		/** Name. */
		private final String name;

		/** Store. */
		private final ConfigurationStore store = newStore(() -> true);

		/** Head that the operator has seen. */
		private long seenHead;

		/** Proposal with an unknown outcome, null if there is none. */
		private RevisionDocument pending;

		/** Head that the pending proposal expects. */
		private long pendingHead;

		private Operator(String name) {
			this.name = name;
		}

		private void look() {
			if (this.store.readHead() instanceof ConfigurationStore.Head read) {
				this.seenHead = read.head().number();
				read.head().recent().forEach((one) -> observeAccepted(one.number(), one.digest()));
			}
		}

		private void proposeNew(int variant) {
			if (this.pending == null) {
				int number = ConfigurationWorld.this.nextDocument++;
				RevisionDocument document = new RevisionDocument(0,
						Map.of("organisation.yaml", this.name + " " + number + " " + variant));
				propose(document, this.seenHead, false);
			}
		}

		private void repeat() {
			if (this.pending != null) {
				propose(this.pending, this.pendingHead, true);
			}
		}

		private void propose(RevisionDocument document, long expected, boolean isRepeated) {
			ConfigurationStore.ProposeResult result = this.store.propose(document, expected, this.name);
			if (result instanceof ConfigurationStore.Accepted answer) {
				observeAccepted(answer.number(), document.digest());
				this.pending = null;
			}
			else if (isRefused(result) && !(isRepeated && result instanceof StoreUnavailable)) {
				refuse(document);
			}
			else if (result instanceof ConfigurationStore.OutcomeUnknown) {
				this.pending = document;
				this.pendingHead = expected;
			}
		}

		private void refuse(RevisionDocument document) {
			this.pending = null;
			ConfigurationWorld.this.refused.add(document.digest());
			require(!ConfigurationWorld.this.accepted.containsValue(document.digest()),
					"a proposal was refused that is accepted");
		}

	}

	/** A daemon that applies revisions. */
	private final class Daemon {

		/** Identity of the running process. */
		private Object life;

		/** Store. */
		private ConfigurationStore store;

		/** What the process has applied and knows. */
		private AppliedRevision state;

		/** Number of the revision in effect. */
		private long inEffect;

		/** Document in effect, null before the first. */
		private RevisionDocument document;

		private Daemon() {
			restart();
		}

		private void restart() {
			Object started = new Object();
			this.life = started;
			this.store = newStore(() -> this.life == started);
			this.state = AppliedRevision.NONE;
			this.inEffect = 0;
			this.document = null;
		}

		private void poll() {
			if (!(this.store.readHead() instanceof ConfigurationStore.Head read)) {
				return;
			}
			long number = read.head().number();
			this.state = this.state.withKnown(number);
			if (number > this.inEffect && this.store.fetch(number) instanceof ConfigurationStore.Fetched fetched) {
				require(fetched.document().digest().equals(read.head().digest()), "the fetched content is another one");
				receive(fetched.document());
			}
		}

		private void publish() {
			if (this.document != null) {
				ConfigurationWorld.this.messages.add(this.document);
			}
		}

		private void receive(RevisionDocument revision) {
			if (!isApplied(this.state, revision.number())) {
				return;
			}
			require(revision.number() > this.inEffect,
					"revision " + revision.number() + " was applied after " + this.inEffect);
			this.state = (this.state.canApply(revision.number())) ? this.state.withApplied(revision.number())
					: this.state;
			this.inEffect = revision.number();
			this.document = revision;
			observeAccepted(revision.number(), revision.digest());
		}

	}

}
