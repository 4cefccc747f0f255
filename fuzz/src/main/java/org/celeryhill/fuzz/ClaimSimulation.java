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
 * Simulates entry daemons that claim and send non-idempotent calls. Promise: a call is
 * executed at most once within the retention of its claim, and by the system that the
 * claim records; an attempt that was reported as not run never runs; a stored response is
 * that of the execution and is returned only for the same request.
 */
class ClaimSimulation extends Simulation {

	/** Fault target of the connection to the backend server. */
	private static final String SERVICE_TARGET = "service";

	/** Timeout and retention of the claims. */
	private static final ClaimPolicy POLICY = new ClaimPolicy(Duration.ofSeconds(60), Duration.ofHours(1), 4);

	/**
	 * Shortest retention that the policy guarantees: three epoch periods, less the age
	 * that a cached epoch counter can have.
	 */
	private static final Duration MIN_RETENTION = Duration.ofMinutes(150);

	/** Organisation that makes all calls. */
	private static final OrganisationId ORGANISATION = OrganisationId.of("mill-a");

	/** Generates the attempt ids of all processes. */
	private final java.util.function.Supplier<AttemptId> attemptIds = AttemptIds.sequential("id");

	/** Entry daemons that share the claims. */
	private final List<Daemon> daemons = new ArrayList<>();

	/** Latest execution by idempotency key. */
	private final Map<String, Execution> lastExecutionByKey = new HashMap<>();

	/**
	 * First violation by an execution, null if there is none. It is kept for the next
	 * check, since a delayed execution has no caller to which it could be thrown.
	 */
	private String violation;

	/** Attempts that were reported to their callers as not run. */
	private final Set<AttemptId> reportedNotRun = new HashSet<>();

	ClaimSimulation() {
		addFaultTarget(SERVICE_TARGET);
		for (int i = 0; i < 3; i++) {
			this.daemons.add(new Daemon());
		}
	}

	@Override
	Map<String, Integer> actionWeights() {
		return Map.of("claim", 30, "again", 8, "send", 20, "end", 12, "giveup", 4, "crash", 2, "collect", 4, "age", 3);
	}

	@Override
	void runStep(Step step) {
		Daemon daemon = this.daemons.get(step.a() % this.daemons.size());
		switch (step.action()) {
			case "claim" -> handleCall(daemon, newCall(step.b(), step.c()));
			case "again" -> daemon.retryClaim();
			case "send" -> daemon.sendCall(step.b(), step.c() % 2 == 0);
			case "end" -> daemon.completeOldestCall();
			case "giveup" -> daemon.giveUpClaim(step.b() % 2 == 0);
			case "crash" -> daemon.restart();
			case "collect" -> daemon.store.collectExpired();
			case "age" -> this.timer.advance(Duration.ofMinutes(20L * (step.b() % 5)));
			default -> throw new IllegalArgumentException("unknown action " + step.action());
		}
	}

	@Override
	void checkPromise() {
		require(this.violation == null, this.violation);
	}

	@Override
	void checkRecovery() {
		endFaults();
		checkPromise();
		for (Daemon daemon : this.daemons) {
			daemon.completeAllCalls();
		}
		Daemon observer = this.daemons.get(0);
		checkClaims(observer, false);
		this.timer.advance(POLICY.timeout());
		checkClaims(observer, true);
		checkPromise();
	}

	private void checkClaims(Daemon observer, boolean isAfterTimeout) {
		for (int key = 0; key < 2; key++) {
			Call call = newCall(key, 0);
			ClaimStore.ClaimResult result = observer.store.claim(ORGANISATION, call.key, call.attempt, call.digest,
					call.system);
			require(!(result instanceof StoreUnavailable),
					"the store is reported as unavailable although all faults have ended");
			require(!isAfterTimeout || !(result instanceof ClaimStore.Running),
					"a claim is still running after its timeout");
			if (result instanceof ClaimStore.Acquired acquired) {
				observer.store.withdraw(acquired);
			}
		}
	}

	private Call newCall(int key, int variant) {
		ServingSystem system = (variant % 2 == 0) ? ServingSystem.NEW : ServingSystem.LEGACY;
		String digest = (variant % 5 == 4) ? "other-request" : "request";
		return new Call("key-" + key % 2, digest, system, this.attemptIds.get());
	}

	/**
	 * Handles a new call by claiming its key. Broken variants override this.
	 * @param daemon the daemon that received the call
	 * @param call the new call
	 */
	protected void handleCall(Daemon daemon, Call call) {
		daemon.claim(call);
	}

	/**
	 * Returns whether a daemon sends a call although the outcome of its claim is unknown.
	 * Broken variants override this.
	 * @return true to send the call
	 */
	protected boolean isSentOnUnknownOutcome() {
		return false;
	}

	/**
	 * Sends a call to the backend server, with network faults.
	 * @param call the call to send
	 * @param system the serving system that executes it
	 * @return the outcome that the daemon observes
	 */
	protected final ObservedOutcome sendToBackend(Call call, ServingSystem system) {
		FaultInjector.InjectedFault injection = this.faults.nextFault(SERVICE_TARGET);
		switch (injection.fault()) {
			case DOWN -> {
				return ObservedOutcome.NOT_SENT;
			}
			case LOST_REQUEST -> {
				return ObservedOutcome.NO_RESPONSE;
			}
			case LOST_ANSWER -> {
				execute(call, system);
				return ObservedOutcome.NO_RESPONSE;
			}
			case DELAYED_EFFECT, REORDER -> {
				this.timer.after(injection.delay(), () -> execute(call, system));
				return ObservedOutcome.NO_RESPONSE;
			}
			default -> {
				execute(call, system);
				return ObservedOutcome.RESPONSE_RECEIVED;
			}
		}
	}

	private void execute(Call call, ServingSystem system) {
		Execution latest = new Execution(call.attempt, call.digest, system, this.timer.nanoTime());
		Execution earlier = this.lastExecutionByKey.put(call.key, latest);
		boolean isRepeated = earlier != null && latest.nanos() - earlier.nanos() < MIN_RETENTION.toNanos();
		if (this.violation == null && isRepeated) {
			this.violation = call.key + " ran twice: " + earlier + " and " + latest;
		}
		if (this.violation == null && this.reportedNotRun.contains(call.attempt)) {
			this.violation = call.attempt + " ran after it was reported as not run";
		}
	}

	private void checkStoredResponse(Call call, ClaimStore.Finished finished) {
		Execution execution = this.lastExecutionByKey.get(call.key);
		require(execution != null, "a response is stored although " + call.key + " never ran");
		String body = new String(finished.outcome().body(), StandardCharsets.UTF_8);
		require(body.equals(execution.attempt().value()), "the stored response is not that of the execution");
		require(call.digest.equals(execution.digest()), "the response of another request was returned");
		require(finished.system() == execution.system(), "the recorded system is not the one that ran the call");
	}

	/** Outcome of a send as the daemon observes it. */
	protected enum ObservedOutcome {

		/** Nothing was sent. */
		NOT_SENT,

		/** The call may have been executed, but no response arrives. */
		NO_RESPONSE,

		/** The response arrived. */
		RESPONSE_RECEIVED

	}

	/** An entry daemon that handles calls and can be restarted. */
	protected final class Daemon {

		/** Identity of the running process; a crash replaces it. */
		private Object incarnation;

		/** Claim store of the running process. */
		private ClaimStore store;

		/** Calls for which the outcome of the claim is unknown. */
		private final List<Call> unresolvedCalls = new ArrayList<>();

		/** Calls whose claim was acquired and that have not been sent. */
		private final List<Call> callsToSend = new ArrayList<>();

		/** Calls whose send has ended and whose claim is not completed. */
		private final List<Call> sentCalls = new ArrayList<>();

		private Daemon() {
			restart();
		}

		private void restart() {
			Object newIncarnation = new Object();
			this.incarnation = newIncarnation;
			ConditionalWriter writer = ConditionalWriter.create(processTable(() -> this.incarnation == newIncarnation),
					ClaimSimulation.this.attemptIds, RetryPolicy.immediate());
			this.store = ClaimStore.create(writer, ClaimSimulation.this.timer, POLICY);
			this.unresolvedCalls.clear();
			this.callsToSend.clear();
			this.sentCalls.clear();
		}

		/**
		 * Claims the key of a call and checks a response that is already stored for it.
		 * @param call the call to claim
		 */
		void claim(Call call) {
			ClaimStore.ClaimResult result = this.store.claim(ORGANISATION, call.key, call.attempt, call.digest,
					call.system);
			if (result instanceof ClaimStore.Acquired acquired) {
				call.acquiredClaim = acquired;
				this.callsToSend.add(call);
			}
			else if (result instanceof StoreUnavailable failed && failed.isOutcomeUnknown()) {
				if (isSentOnUnknownOutcome()) {
					sendToBackend(call, call.system);
				}
				this.unresolvedCalls.add(call);
			}
			else if (result instanceof StoreUnavailable) {
				ClaimSimulation.this.reportedNotRun.add(call.attempt);
			}
			else if (result instanceof ClaimStore.Finished finished) {
				checkStoredResponse(call, finished);
			}
		}

		private void retryClaim() {
			if (!this.unresolvedCalls.isEmpty()) {
				claim(this.unresolvedCalls.remove(0));
			}
		}

		private void giveUpClaim(boolean isFenced) {
			if (this.unresolvedCalls.isEmpty()) {
				return;
			}
			Call call = this.unresolvedCalls.remove(0);
			ClaimSimulation.this.reportedNotRun.add(call.attempt);
			if (isFenced) {
				this.store.abandon(ORGANISATION, call.key, call.attempt, call.digest, call.system);
			}
		}

		private void sendCall(int index, boolean isCompletedImmediately) {
			if (this.callsToSend.isEmpty()) {
				return;
			}
			Call call = this.callsToSend.remove(index % this.callsToSend.size());
			boolean isSendable = call.acquiredClaim.canSend(ClaimSimulation.this.timer.nanoTime());
			call.observedOutcome = (isSendable) ? sendToBackend(call, call.acquiredClaim.claim().system())
					: ObservedOutcome.NOT_SENT;
			if (call.observedOutcome == ObservedOutcome.NOT_SENT) {
				ClaimSimulation.this.reportedNotRun.add(call.attempt);
			}
			this.sentCalls.add(call);
			if (isCompletedImmediately) {
				completeOldestCall();
			}
		}

		private void completeOldestCall() {
			if (this.sentCalls.isEmpty()) {
				return;
			}
			Call call = this.sentCalls.remove(0);
			ClaimStore.CompleteResult result = switch (call.observedOutcome) {
				case NOT_SENT -> this.store.withdraw(call.acquiredClaim);
				case NO_RESPONSE -> this.store.completeWithUnknownOutcome(call.acquiredClaim);
				case RESPONSE_RECEIVED -> this.store.complete(call.acquiredClaim, outcome(call));
			};
			if (result instanceof StoreUnavailable) {
				this.sentCalls.add(call);
			}
		}

		private void completeAllCalls() {
			while (!this.callsToSend.isEmpty()) {
				sendCall(0, false);
			}
			while (!this.sentCalls.isEmpty()) {
				completeOldestCall();
			}
		}

		private StoredOutcome outcome(Call call) {
			return new StoredOutcome(200, Map.of(), call.attempt.value().getBytes(StandardCharsets.UTF_8));
		}

	}

	/** A call on one daemon, with its claim and the outcome of its send. */
	protected static final class Call {

		/** Idempotency key. */
		private final String key;

		/** Digest of the request. */
		private final String digest;

		/** Serving system that the traffic split chooses. */
		private final ServingSystem system;

		/** Id of the attempt of this daemon. */
		private final AttemptId attempt;

		/** Acquired claim, null before it is acquired. */
		private ClaimStore.Acquired acquiredClaim;

		/** Observed outcome of the send, null before the send. */
		private ObservedOutcome observedOutcome;

		private Call(String key, String digest, ServingSystem system, AttemptId attempt) {
			this.key = key;
			this.digest = digest;
			this.system = system;
			this.attempt = attempt;
		}

		/**
		 * Returns the serving system that the traffic split chooses.
		 * @return the system
		 */
		ServingSystem system() {
			return this.system;
		}

	}

	/**
	 * An execution of a call on the backend server.
	 *
	 * @param attempt the id of the attempt that was executed
	 * @param digest the digest of the request
	 * @param system the serving system that executed the call
	 * @param nanos the virtual time of the execution, in nanoseconds
	 */
	private record Execution(AttemptId attempt, String digest, ServingSystem system, long nanos) {

	}

}
