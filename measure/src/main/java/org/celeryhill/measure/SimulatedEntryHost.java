package org.celeryhill.measure;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.RequestId;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficRequest;

/**
 * Simulated entry host, which executes the decisions of its traffic controller. Not
 * thread-safe.
 */
final class SimulatedEntryHost {

	/** Latency of one message from a host to a server, in nanoseconds. */
	private static final long HOP_NANOS = 500_000L;

	/** Time until the callers of a lost host reconnect to another one, in nanoseconds. */
	private static final long RECONNECT_NANOS = 1_000_000_000L;

	/** Number of tokens between two progress reports to the controller. */
	private static final int TOKENS_PER_PROGRESS_REPORT = 4;

	/** Position in the list of hosts. */
	final int position;

	/** Data centre of the host. */
	final DataCentre dataCentre;

	/** Traffic controller of the measured policy. */
	final TrafficController controller;

	/** Whether the host runs. */
	boolean isAlive = true;

	/** Simulation with the servers and the virtual time. */
	private final Simulation run;

	/** Jobs of this host that have not ended. */
	private final Map<RequestId, Job> jobs = new HashMap<>();

	SimulatedEntryHost(int position, DataCentre dataCentre, TrafficController controller, Simulation run) {
		this.position = position;
		this.dataCentre = dataCentre;
		this.controller = controller;
		this.run = run;
	}

	/**
	 * Accepts a job from its caller and dispatches it, or ends it as refused.
	 * @param job the job to run
	 */
	void accept(Job job) {
		if (job.isBooking() && !this.run.isTableUp()) {
			// A booking must not be sent without a claim row.
			job.end(Job.Outcome.REFUSED);
			return;
		}
		Optional<TrafficAction.Refuse> refused = this.controller.offer(request(job), now());
		if (refused.isPresent()) {
			refuse(job);
			return;
		}
		this.jobs.put(job.id, job);
		this.run.demand.queued(job);
		dispatch();
	}

	private TrafficRequest request(Job job) {
		Deployment deployment = this.run.deployment;
		return new TrafficRequest(job.id, deployment.organisations.get(job.organisation),
				job.isBooking() ? deployment.plainService : deployment.engineService, Optional.ofNullable(job.model),
				job.priority, job.prompt + job.deliveredTokens, job.maxTokens - job.deliveredTokens, job.prefix,
				!job.isBooking(), (job.deliveredTokens > 0) ? now() : job.arrivedNanos);
	}

	/** Executes the actions that the controller has decided. */
	void dispatch() {
		if (!this.isAlive) {
			return;
		}
		for (TrafficAction action : this.controller.dispatch(now())) {
			Job job = this.jobs.get(action.request());
			this.run.demand.dequeued(job);
			if (action instanceof TrafficAction.Send send) {
				send(job, send);
			}
			else {
				this.jobs.remove(job.id);
				refuse(job);
			}
		}
	}

	private void refuse(Job job) {
		job.end(job.mayHaveRun ? Job.Outcome.FAILED : Job.Outcome.REFUSED);
	}

	private void send(Job job, TrafficAction.Send send) {
		job.isSent = true;
		if (job.isBooking()) {
			this.run.events.scheduleAfter(HOP_NANOS, () -> startCall(job, send));
			return;
		}
		EngineStream stream = new EngineStream(send.attempt(), job, this, this.run.baseModel(job.model),
				this.run.policy.queueRank(job));
		job.streams.add(stream);
		this.run.events.scheduleAfter(HOP_NANOS, () -> startStream(stream, send));
	}

	private void startStream(EngineStream stream, TrafficAction.Send send) {
		SimulatedEngine engine = this.run.engine(send.backend());
		if (!this.isAlive || stream.isEnded) {
			return;
		}
		if (!engine.isAlive) {
			endStream(stream, AttemptOutcome.UNREACHABLE);
			return;
		}
		this.run.violations.checkDraining(engine.drainingSinceNanos, now());
		if (!engine.accept(stream)) {
			endStream(stream, AttemptOutcome.REFUSED);
		}
	}

	private void startCall(Job job, TrafficAction.Send send) {
		SimulatedPlainServer server = this.run.plainServer(send.backend());
		if (!this.isAlive) {
			return;
		}
		if (!server.isAlive || !server.accept(send.attempt(), job, this)) {
			AttemptOutcome outcome = server.isAlive ? AttemptOutcome.REFUSED : AttemptOutcome.UNREACHABLE;
			this.controller.finish(send.attempt(), outcome, now());
			retry(job, send.attempt());
		}
	}

	/**
	 * Handles the end of a plain call.
	 * @param attempt the attempt that ended
	 * @param job the plain call
	 * @param isResponseComplete whether the server was alive until the end
	 */
	void handleCallEnd(AttemptId attempt, Job job, boolean isResponseComplete) {
		if (!this.isAlive) {
			return;
		}
		AttemptOutcome outcome = isResponseComplete ? AttemptOutcome.COMPLETED : AttemptOutcome.BROKEN;
		this.controller.finish(attempt, outcome, now());
		if (!isResponseComplete) {
			job.mayHaveRun = true;
			retry(job, attempt);
			return;
		}
		job.firstToken = now();
		job.lastToken = job.firstToken;
		job.deliveredTokens = 1;
		complete(job);
	}

	private void complete(Job job) {
		this.jobs.remove(job.id);
		job.end(Job.Outcome.COMPLETED);
		dispatch();
	}

	/**
	 * Handles one token of a stream. The first token cancels the other attempts of the
	 * job.
	 * @param stream the stream of the token
	 * @param engine the engine that generated the token
	 */
	void handleToken(EngineStream stream, SimulatedEngine engine) {
		Job job = stream.job;
		if (!this.isAlive || job.outcome != null) {
			return;
		}
		if (stream.generated == 1 && job.streams.size() > 1) {
			cancelOthers(stream);
		}
		if (job.firstToken < 0) {
			job.firstToken = now();
		}
		job.deliveredTokens++;
		job.lastToken = now();
		if (stream.generated % TOKENS_PER_PROGRESS_REPORT == 1 || stream.generated == stream.output) {
			this.controller.progress(stream.attempt, stream.generated, now());
		}
		if (stream.generated == stream.output) {
			job.streams.remove(stream);
			this.controller.finish(stream.attempt, AttemptOutcome.COMPLETED, now());
			complete(job);
		}
	}

	private void cancelOthers(EngineStream first) {
		for (EngineStream other : first.job.streams) {
			if (other != first) {
				other.isEnded = true;
				this.controller.finish(other.attempt, AttemptOutcome.CANCELLED, now());
			}
		}
		first.job.streams.clear();
		first.job.streams.add(first);
	}

	/**
	 * Handles a stream that broke; the job may have run.
	 * @param stream the broken stream
	 */
	void handleBrokenStream(EngineStream stream) {
		if (this.isAlive) {
			stream.job.mayHaveRun = true;
			endStream(stream, AttemptOutcome.BROKEN);
		}
	}

	private void endStream(EngineStream stream, AttemptOutcome outcome) {
		Job job = stream.job;
		stream.isEnded = true;
		job.streams.remove(stream);
		this.controller.finish(stream.attempt, outcome, now());
		if (job.outcome == null && job.streams.isEmpty()) {
			retry(job, stream.attempt);
		}
	}

	private void retry(Job job, AttemptId attempt) {
		if (this.controller.retry(request(job), attempt, now()).isPresent()) {
			this.jobs.remove(job.id);
			refuse(job);
		}
		else {
			this.run.demand.queued(job);
		}
		dispatch();
	}

	/**
	 * Stops the host immediately. Bookings end; the callers of other jobs reconnect to
	 * other hosts.
	 */
	void kill() {
		this.isAlive = false;
		for (Job job : this.jobs.values().stream().sorted(java.util.Comparator.comparing((one) -> one.id)).toList()) {
			if (!job.streams.isEmpty()) {
				job.mayHaveRun = true;
				job.streams.forEach((stream) -> stream.isEnded = true);
				job.streams.clear();
			}
			else if (!job.isBooking()) {
				this.run.demand.dequeued(job);
			}
			if (job.isBooking()) {
				job.end(job.isSent ? Job.Outcome.FAILED : Job.Outcome.REFUSED);
			}
			else {
				this.run.events.scheduleAfter(RECONNECT_NANOS, () -> this.run.submit(job));
			}
		}
		this.jobs.clear();
	}

	private long now() {
		return this.run.events.now();
	}

}
