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
 * Simulates operators that propose configuration revisions and daemons that apply them.
 * Promise: of several proposals with the same expected head only one is accepted; a
 * refused proposal is never accepted; an accepted revision never changes; a daemon never
 * reverts to a lower revision, although peers send old revisions late and repeatedly.
 */
class ConfigurationSimulation extends Simulation {

	/** Generates the attempt ids of all processes. */
	private final java.util.function.Supplier<AttemptId> attemptIds = AttemptIds.sequential("id");

	/** Operators that propose revisions. */
	private final List<Operator> operators = new ArrayList<>();

	/** Daemons that apply revisions. */
	private final List<Daemon> daemons = new ArrayList<>();

	/** Revisions that daemons have published and that can still be delivered. */
	private final List<RevisionDocument> revisionsInTransit = new ArrayList<>();

	/** Digest by revision number, as observed by any operator or daemon. */
	private final Map<Long, String> accepted = new HashMap<>();

	/** Digests of proposals that were finally refused. */
	private final Set<String> refused = new HashSet<>();

	/** Highest row version of the head that the oracle has read. */
	private long highestHeadVersion;

	/** Number that makes the content of the next proposal unique. */
	private int nextDocumentNumber;

	ConfigurationSimulation() {
		addFaultTarget(FakeObjectService.TARGET);
		for (int i = 0; i < 3; i++) {
			this.operators.add(new Operator("operator-" + i));
			this.daemons.add(new Daemon());
		}
	}

	@Override
	Map<String, Integer> actionWeights() {
		return Map.of("look", 15, "propose", 25, "repeat", 8, "poll", 15, "publish", 12, "deliver", 20, "crash", 2);
	}

	@Override
	void runStep(Step step) {
		Operator operator = this.operators.get(step.a() % this.operators.size());
		Daemon daemon = this.daemons.get(step.a() % this.daemons.size());
		switch (step.action()) {
			case "look" -> operator.readHead();
			case "propose" -> operator.proposeNew(step.c());
			case "repeat" -> operator.retryProposal();
			case "poll" -> daemon.pollStore();
			case "publish" -> daemon.publishAppliedRevision();
			case "deliver" -> deliverRevision(daemon, step.b(), step.c() % 3 == 0);
			case "crash" -> daemon.restart();
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	private void deliverRevision(Daemon daemon, int index, boolean isDuplicated) {
		if (this.revisionsInTransit.isEmpty()) {
			return;
		}
		int number = index % this.revisionsInTransit.size();
		RevisionDocument message = (isDuplicated) ? this.revisionsInTransit.get(number)
				: this.revisionsInTransit.remove(number);
		daemon.receiveRevision(message);
	}

	@Override
	void checkPromise() {
		this.table.peek(ConfigurationStore.HEAD).ifPresent((row) -> {
			require(row.version() >= this.highestHeadVersion, "the head went back to version " + row.version());
			this.highestHeadVersion = row.version();
		});
	}

	@Override
	void checkRecovery() {
		endFaults();
		long head = -1;
		for (Daemon daemon : this.daemons) {
			daemon.pollStore();
			require(head < 0 || head == daemon.state.applied(), "daemons have applied different revisions");
			head = daemon.state.applied();
			if (daemon.store.readHead() instanceof ConfigurationStore.Head read) {
				require(read.head().number() == head, "the head is not applied");
				read.head().recent().forEach((listed) -> checkAccepted(listed.number(), listed.digest()));
			}
		}
	}

	/**
	 * Returns whether a daemon applies a revision. Broken variants override this.
	 * @param state the applied and the highest known revision of the daemon
	 * @param number the number of the received revision
	 * @return true to apply the revision
	 */
	protected boolean acceptsRevision(AppliedRevision state, long number) {
		return state.canApply(number);
	}

	/**
	 * Returns whether an operator treats a proposal as finally refused. Broken variants
	 * override this.
	 * @param result the result of the proposal
	 * @return true if the proposal will never be accepted
	 */
	protected boolean isFinallyRefused(ConfigurationStore.ProposeResult result) {
		boolean isUnavailable = result instanceof StoreUnavailable failed && !failed.isOutcomeUnknown();
		return isUnavailable || result instanceof ConfigurationStore.HeadConflict;
	}

	private ConfigurationStore createStore(BooleanSupplier isAlive) {
		return ConfigurationStore.create(
				ConditionalWriter.create(processTable(isAlive), this.attemptIds, RetryPolicy.immediate()), this.objects,
				this.timer, (document) -> List.of());
	}

	private void checkAccepted(long number, String digest) {
		String earlier = this.accepted.putIfAbsent(number, digest);
		require(earlier == null || earlier.equals(digest), "revision " + number + " has two different contents");
		require(!this.refused.contains(digest), "revision " + number + " was accepted after its refusal");
	}

	/** An operator that uses the command-line interface. */
	private final class Operator {

		/** Name of the operator in proposals. */
		private final String name;

		/** Configuration store of the operator. */
		private final ConfigurationStore store = createStore(() -> true);

		/** Number of the head that the operator last read. */
		private long lastSeenHead;

		/** Proposal with an unknown outcome, null if there is none. */
		private RevisionDocument unresolvedProposal;

		/** Head number that the unresolved proposal expects. */
		private long unresolvedExpectedHead;

		private Operator(String name) {
			this.name = name;
		}

		private void readHead() {
			if (this.store.readHead() instanceof ConfigurationStore.Head read) {
				this.lastSeenHead = read.head().number();
				read.head().recent().forEach((listed) -> checkAccepted(listed.number(), listed.digest()));
			}
		}

		private void proposeNew(int variant) {
			if (this.unresolvedProposal == null) {
				int number = ConfigurationSimulation.this.nextDocumentNumber++;
				RevisionDocument document = new RevisionDocument(0,
						Map.of("organisation.yaml", this.name + " " + number + " " + variant));
				propose(document, this.lastSeenHead, false);
			}
		}

		private void retryProposal() {
			if (this.unresolvedProposal != null) {
				propose(this.unresolvedProposal, this.unresolvedExpectedHead, true);
			}
		}

		private void propose(RevisionDocument document, long expectedHead, boolean isRetry) {
			ConfigurationStore.ProposeResult result = this.store.propose(document, expectedHead, this.name);
			if (result instanceof ConfigurationStore.Accepted proposalResult) {
				checkAccepted(proposalResult.number(), document.digest());
				this.unresolvedProposal = null;
			}
			else if (isFinallyRefused(result) && !(isRetry && result instanceof StoreUnavailable)) {
				recordRefusal(document);
			}
			else if (result instanceof ConfigurationStore.OutcomeUnknown) {
				this.unresolvedProposal = document;
				this.unresolvedExpectedHead = expectedHead;
			}
		}

		private void recordRefusal(RevisionDocument document) {
			this.unresolvedProposal = null;
			ConfigurationSimulation.this.refused.add(document.digest());
			require(!ConfigurationSimulation.this.accepted.containsValue(document.digest()),
					"a proposal was refused although it had been accepted");
		}

	}

	/** A daemon that applies revisions. */
	private final class Daemon {

		/** Identity of the running process; a crash replaces it. */
		private Object incarnation;

		/** Configuration store of the running process. */
		private ConfigurationStore store;

		/** Applied and highest known revision of the process. */
		private AppliedRevision state;

		/** Number of the applied revision, 0 before the first. */
		private long appliedNumber;

		/** Applied revision, null before the first. */
		private RevisionDocument appliedDocument;

		private Daemon() {
			restart();
		}

		private void restart() {
			Object newIncarnation = new Object();
			this.incarnation = newIncarnation;
			this.store = createStore(() -> this.incarnation == newIncarnation);
			this.state = AppliedRevision.NONE;
			this.appliedNumber = 0;
			this.appliedDocument = null;
		}

		private void pollStore() {
			if (!(this.store.readHead() instanceof ConfigurationStore.Head read)) {
				return;
			}
			long number = read.head().number();
			this.state = this.state.withKnown(number);
			if (number > this.appliedNumber && this.store.fetch(number) instanceof ConfigurationStore.Fetched fetched) {
				require(fetched.document().digest().equals(read.head().digest()),
						"the fetched content does not match the digest of the head");
				receiveRevision(fetched.document());
			}
		}

		private void publishAppliedRevision() {
			if (this.appliedDocument != null) {
				ConfigurationSimulation.this.revisionsInTransit.add(this.appliedDocument);
			}
		}

		private void receiveRevision(RevisionDocument revision) {
			if (!acceptsRevision(this.state, revision.number())) {
				return;
			}
			require(revision.number() > this.appliedNumber,
					"revision " + revision.number() + " was applied after " + this.appliedNumber);
			this.state = (this.state.canApply(revision.number())) ? this.state.withApplied(revision.number())
					: this.state;
			this.appliedNumber = revision.number();
			this.appliedDocument = revision;
			checkAccepted(revision.number(), revision.digest());
		}

	}

}
