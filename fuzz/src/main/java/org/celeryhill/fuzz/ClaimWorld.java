package org.celeryhill.fuzz;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.fake.FaultInjector;
import org.celeryhill.state.AttemptIds;
import org.celeryhill.state.ClaimPolicy;
import org.celeryhill.state.ClaimStore;
import org.celeryhill.state.ConditionalWriter;
import org.celeryhill.state.RetryPolicy;
import org.celeryhill.state.ServingSystem;
import org.celeryhill.state.StoreUnavailable;
import org.celeryhill.state.StoredOutcome;

/**
 * Promise: a non-idempotent call is executed at most once within the retention of its
 * claim, always by the same system; an attempt that was answered as not run never runs; a
 * stored answer is the one of the execution, given only for the same request.
 */
class ClaimWorld extends World {

	/** Fault target of the backend server. */
	private static final String SERVICE = "service";

	/** Times of the claims. */
	private static final ClaimPolicy POLICY = new ClaimPolicy(Duration.ofSeconds(60), Duration.ofHours(1), 4);

	/** Shortest retention that the policy promises: three periods less a stale epoch. */
	private static final Duration RETENTION = Duration.ofMinutes(150);

	/** Caller of all calls. */
	private static final OrganisationId CALLER = OrganisationId.of("mill-a");

	/** Ids of all processes. */
	private final java.util.function.Supplier<AttemptId> ids = AttemptIds.sequential("id");

	/** Entry daemons. */
	private final List<Daemon> daemons = new ArrayList<>();

	/** Latest execution by key. */
	private final Map<String, Execution> executions = new HashMap<>();

	/**
	 * First violation by an execution, null if there is none. A late one has no caller.
	 */
	private String violation;

	/** Attempts that were answered as not run. */
	private final Set<AttemptId> notRun = new HashSet<>();

	ClaimWorld() {
		addTarget(SERVICE);
		for (int i = 0; i < 3; i++) {
			this.daemons.add(new Daemon());
		}
	}

	@Override
	Map<String, Integer> actions() {
		return Map.of("claim", 30, "again", 8, "send", 20, "end", 12, "giveup", 4, "crash", 2, "collect", 4, "age", 3);
	}

	@Override
	void run(Step step) {
		Daemon daemon = this.daemons.get(step.a() % this.daemons.size());
		switch (step.action()) {
			case "claim" -> begin(daemon, newCall(step.b(), step.c()));
			case "again" -> daemon.claimAgain();
			case "send" -> daemon.send(step.b(), step.c() % 2 == 0);
			case "end" -> daemon.end();
			case "giveup" -> daemon.giveUp(step.b() % 2 == 0);
			case "crash" -> daemon.restart();
			case "collect" -> daemon.store.collectExpired();
			case "age" -> this.timer.advance(Duration.ofMinutes(20L * (step.b() % 5)));
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	@Override
	void check() {
		require(this.violation == null, this.violation);
	}

	@Override
	void finish() {
		heal();
		check();
		for (Daemon daemon : this.daemons) {
			daemon.settle();
		}
		Daemon observer = this.daemons.get(0);
		probe(observer, false);
		this.timer.advance(POLICY.timeout());
		probe(observer, true);
		check();
	}

	private void probe(Daemon observer, boolean isDecided) {
		for (int key = 0; key < 2; key++) {
			Call call = newCall(key, 0);
			ClaimStore.ClaimResult result = observer.store.claim(CALLER, call.key, call.attempt, call.digest,
					call.system);
			require(!(result instanceof StoreUnavailable), "the store is unavailable although it is not");
			require(!isDecided || !(result instanceof ClaimStore.Running), "a claim is running although nobody is");
			if (result instanceof ClaimStore.Acquired won) {
				observer.store.withdraw(won);
			}
		}
	}

	private Call newCall(int key, int variant) {
		ServingSystem system = (variant % 2 == 0) ? ServingSystem.NEW : ServingSystem.LEGACY;
		String digest = (variant % 5 == 4) ? "other-request" : "request";
		return new Call("key-" + key % 2, digest, system, this.ids.get());
	}

	/**
	 * Begins a call. Broken variants replace this.
	 * @param daemon the daemon that got the call
	 * @param call the call
	 */
	protected void begin(Daemon daemon, Call call) {
		daemon.claim(call);
	}

	/**
	 * Returns whether a daemon sends a call after the outcome of its claim is unknown.
	 * Broken variants replace this.
	 * @return true to send it
	 */
	protected boolean isSentOnUnknown() {
		return false;
	}

	/**
	 * Runs a call on the backend server, with faults of the network.
	 * @param call the call
	 * @param system the system that runs it
	 * @return what the daemon sees
	 */
	protected final Seen runCall(Call call, ServingSystem system) {
		FaultInjector.InjectedFault injection = this.faults.nextFault(SERVICE);
		switch (injection.fault()) {
			case DOWN -> {
				return Seen.NOT_SENT;
			}
			case LOST_REQUEST -> {
				return Seen.NO_ANSWER;
			}
			case LOST_ANSWER -> {
				execute(call, system);
				return Seen.NO_ANSWER;
			}
			case DELAYED_EFFECT, REORDER -> {
				this.timer.after(injection.delay(), () -> execute(call, system));
				return Seen.NO_ANSWER;
			}
			default -> {
				execute(call, system);
				return Seen.ANSWERED;
			}
		}
	}

	private void execute(Call call, ServingSystem system) {
		Execution latest = new Execution(call.attempt, call.digest, system, this.timer.nanoTime());
		Execution earlier = this.executions.put(call.key, latest);
		boolean isTwice = earlier != null && latest.nanos() - earlier.nanos() < RETENTION.toNanos();
		if (this.violation == null && isTwice) {
			this.violation = call.key + " ran twice: " + earlier + " and " + latest;
		}
		if (this.violation == null && this.notRun.contains(call.attempt)) {
			this.violation = call.attempt + " ran after it was answered as not run";
		}
	}

	private void checkAnswer(Call call, ClaimStore.Finished finished) {
		Execution execution = this.executions.get(call.key);
		require(execution != null, "an answer is stored although " + call.key + " never ran");
		String body = new String(finished.outcome().body(), StandardCharsets.UTF_8);
		require(body.equals(execution.attempt().value()), "the stored answer is not the one of the execution");
		require(call.digest.equals(execution.digest()), "the answer of another request was given");
		require(finished.system() == execution.system(), "the recorded system is not the one that ran the call");
	}

	/** What a daemon sees of a call that it has sent. */
	protected enum Seen {

		/** No byte was sent. */
		NOT_SENT,

		/** The answer never arrives. */
		NO_ANSWER,

		/** The answer arrived. */
		ANSWERED

	}

	/** An entry daemon. */
	protected final class Daemon {

		/** Identity of the running process. */
		private Object life;

		/** Claims of the process. */
		private ClaimStore store;

		/** Calls whose claim has an unknown outcome. */
		private final List<Call> unresolved = new ArrayList<>();

		/** Calls that may be sent. */
		private final List<Call> toSend = new ArrayList<>();

		/** Calls that were sent. */
		private final List<Call> sent = new ArrayList<>();

		private Daemon() {
			restart();
		}

		private void restart() {
			Object started = new Object();
			this.life = started;
			ConditionalWriter writer = ConditionalWriter.create(processTable(() -> this.life == started),
					ClaimWorld.this.ids, RetryPolicy.immediate());
			this.store = ClaimStore.create(writer, ClaimWorld.this.timer, POLICY);
			this.unresolved.clear();
			this.toSend.clear();
			this.sent.clear();
		}

		/**
		 * Claims the key of a call.
		 * @param call the call
		 */
		void claim(Call call) {
			ClaimStore.ClaimResult result = this.store.claim(CALLER, call.key, call.attempt, call.digest, call.system);
			if (result instanceof ClaimStore.Acquired won) {
				call.won = won;
				this.toSend.add(call);
			}
			else if (result instanceof StoreUnavailable failed && failed.isOutcomeUnknown()) {
				if (isSentOnUnknown()) {
					runCall(call, call.system);
				}
				this.unresolved.add(call);
			}
			else if (result instanceof StoreUnavailable) {
				ClaimWorld.this.notRun.add(call.attempt);
			}
			else if (result instanceof ClaimStore.Finished finished) {
				checkAnswer(call, finished);
			}
		}

		private void claimAgain() {
			if (!this.unresolved.isEmpty()) {
				claim(this.unresolved.remove(0));
			}
		}

		private void giveUp(boolean isFenced) {
			if (this.unresolved.isEmpty()) {
				return;
			}
			Call call = this.unresolved.remove(0);
			ClaimWorld.this.notRun.add(call.attempt);
			if (isFenced) {
				this.store.abandon(CALLER, call.key, call.attempt, call.digest, call.system);
			}
		}

		private void send(int index, boolean isEndedAtOnce) {
			if (this.toSend.isEmpty()) {
				return;
			}
			Call call = this.toSend.remove(index % this.toSend.size());
			boolean isSendable = call.won.canSend(ClaimWorld.this.timer.nanoTime());
			call.seen = (isSendable) ? runCall(call, call.won.claim().system()) : Seen.NOT_SENT;
			if (call.seen == Seen.NOT_SENT) {
				ClaimWorld.this.notRun.add(call.attempt);
			}
			this.sent.add(call);
			if (isEndedAtOnce) {
				end();
			}
		}

		private void end() {
			if (this.sent.isEmpty()) {
				return;
			}
			Call call = this.sent.remove(0);
			ClaimStore.CompleteResult result = switch (call.seen) {
				case NOT_SENT -> this.store.withdraw(call.won);
				case NO_ANSWER -> this.store.completeWithUnknownOutcome(call.won);
				case ANSWERED -> this.store.complete(call.won, outcome(call));
			};
			if (result instanceof StoreUnavailable) {
				this.sent.add(call);
			}
		}

		private void settle() {
			while (!this.toSend.isEmpty()) {
				send(0, false);
			}
			while (!this.sent.isEmpty()) {
				end();
			}
		}

		private StoredOutcome outcome(Call call) {
			return new StoredOutcome(200, Map.of(), call.attempt.value().getBytes(StandardCharsets.UTF_8));
		}

	}

	/** A call as one daemon has it. */
	protected static final class Call {

		/** Idempotency key. */
		private final String key;

		/** Digest of the request. */
		private final String digest;

		/** System that the traffic split chooses. */
		private final ServingSystem system;

		/** Attempt of this daemon. */
		private final AttemptId attempt;

		/** Claim, null before it is won. */
		private ClaimStore.Acquired won;

		/** What was seen of the sending, null before it. */
		private Seen seen;

		private Call(String key, String digest, ServingSystem system, AttemptId attempt) {
			this.key = key;
			this.digest = digest;
			this.system = system;
			this.attempt = attempt;
		}

		/**
		 * Returns the system that the traffic split chooses.
		 * @return the system
		 */
		ServingSystem system() {
			return this.system;
		}

	}

	/**
	 * An execution on the backend server.
	 *
	 * @param attempt the attempt
	 * @param digest the digest of the request
	 * @param system the system that ran it
	 * @param nanos when it ran, in nanoseconds of virtual time
	 */
	private record Execution(AttemptId attempt, String digest, ServingSystem system, long nanos) {

	}

}
