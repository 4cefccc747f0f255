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
 * Entry host that carries out the decisions of its controller. Not thread-safe.
 */
final class EntryHost {

	/** Time of one message between host and server, in nanoseconds. */
	private static final long HOP = 500_000L;

	/** Time until the callers of a lost host come through another one, in nanoseconds. */
	private static final long RECONNECT = 1_000_000_000L;

	/** Tokens after which the controller is told of progress. */
	private static final int PROGRESS_STEP = 4;

	/** Position. */
	final int position;

	/** Where it stands. */
	final DataCentre dataCentre;

	/** Controller under measurement. */
	final TrafficController controller;

	/** Whether it runs. */
	boolean isAlive = true;

	/** Run. */
	private final Simulation run;

	/** Jobs that have not ended. */
	private final Map<RequestId, Job> jobs = new HashMap<>();

	EntryHost(int position, DataCentre dataCentre, TrafficController controller, Simulation run) {
		this.position = position;
		this.dataCentre = dataCentre;
		this.controller = controller;
		this.run = run;
	}

	/**
	 * Takes a job from its caller.
	 * @param job the job
	 */
	void accept(Job job) {
		if (job.isBooking() && !this.run.isTableUp()) {
			// Without a claim row a booking must not be sent.
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
				job.priority, job.prompt + job.delivered, job.maxTokens - job.delivered, job.prefix, !job.isBooking(),
				(job.delivered > 0) ? now() : job.arrived);
	}

	/** Carries out what is due. */
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
			this.run.events.after(HOP, () -> call(job, send));
			return;
		}
		Stream stream = new Stream(send.attempt(), job, this, this.run.weights(job.model), this.run.policy.rank(job));
		job.streams.add(stream);
		this.run.events.after(HOP, () -> start(stream, send));
	}

	private void start(Stream stream, TrafficAction.Send send) {
		EngineModel engine = this.run.engine(send.backend());
		if (!this.isAlive || stream.isOver) {
			return;
		}
		if (!engine.isAlive) {
			ended(stream, AttemptOutcome.UNREACHABLE);
			return;
		}
		this.run.violations.checkDraining(engine.leavingSince, now());
		if (!engine.accept(stream)) {
			ended(stream, AttemptOutcome.REFUSED);
		}
	}

	private void call(Job job, TrafficAction.Send send) {
		PlainModel server = this.run.plain(send.backend());
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
	 * Takes the answer of a plain call.
	 * @param attempt the attempt
	 * @param job the call
	 * @param isWhole whether the server was alive until the end
	 */
	void answered(AttemptId attempt, Job job, boolean isWhole) {
		if (!this.isAlive) {
			return;
		}
		AttemptOutcome outcome = isWhole ? AttemptOutcome.COMPLETED : AttemptOutcome.BROKEN;
		this.controller.finish(attempt, outcome, now());
		if (!isWhole) {
			job.mayHaveRun = true;
			retry(job, attempt);
			return;
		}
		job.firstToken = now();
		job.lastToken = job.firstToken;
		job.delivered = 1;
		complete(job);
	}

	private void complete(Job job) {
		this.jobs.remove(job.id);
		job.end(Job.Outcome.COMPLETED);
		dispatch();
	}

	/**
	 * Takes one token.
	 * @param stream the stream
	 * @param engine the engine
	 */
	void received(Stream stream, EngineModel engine) {
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
		job.delivered++;
		job.lastToken = now();
		if (stream.generated % PROGRESS_STEP == 1 || stream.generated == stream.output) {
			this.controller.progress(stream.attempt, stream.generated, now());
		}
		if (stream.generated == stream.output) {
			job.streams.remove(stream);
			this.controller.finish(stream.attempt, AttemptOutcome.COMPLETED, now());
			complete(job);
		}
	}

	private void cancelOthers(Stream first) {
		for (Stream other : first.job.streams) {
			if (other != first) {
				other.isOver = true;
				this.controller.finish(other.attempt, AttemptOutcome.CANCELLED, now());
			}
		}
		first.job.streams.clear();
		first.job.streams.add(first);
	}

	/**
	 * Takes note that a stream broke off.
	 * @param stream the stream
	 */
	void broken(Stream stream) {
		if (this.isAlive) {
			stream.job.mayHaveRun = true;
			ended(stream, AttemptOutcome.BROKEN);
		}
	}

	private void ended(Stream stream, AttemptOutcome outcome) {
		Job job = stream.job;
		stream.isOver = true;
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

	/** Stops at once; callers come back through other hosts. */
	void kill() {
		this.isAlive = false;
		for (Job job : this.jobs.values().stream().sorted(java.util.Comparator.comparing((one) -> one.id)).toList()) {
			if (!job.streams.isEmpty()) {
				job.mayHaveRun = true;
				job.streams.forEach((stream) -> stream.isOver = true);
				job.streams.clear();
			}
			else if (!job.isBooking()) {
				this.run.demand.dequeued(job);
			}
			if (job.isBooking()) {
				job.end(job.isSent ? Job.Outcome.FAILED : Job.Outcome.REFUSED);
			}
			else {
				this.run.events.after(RECONNECT, () -> this.run.enter(job));
			}
		}
		this.jobs.clear();
	}

	private long now() {
		return this.run.events.now();
	}

}
