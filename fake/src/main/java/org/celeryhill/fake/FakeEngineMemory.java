package org.celeryhill.fake;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.Consumer;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.Engine.CommandResult;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.EngineReport.Resident;
import org.celeryhill.port.EngineReport.ResidentState;
import org.celeryhill.port.EngineReport.Role;

/**
 * Accelerator memory of one engine. Executes commands and holds resident models. Commands
 * that exceed the memory are not refused; the excess is recorded as a violation. The
 * fault target is the id of the engine; a late duplicate of a command reaches the
 * incarnation that runs at that time. Thread-safe.
 */
public final class FakeEngineMemory {

	/** Id of the engine. */
	private final BackendServerId id;

	/** Memory size, command handling and load times. */
	private final Settings settings;

	/** Ends loads and runs late commands. */
	private final TimerService timer;

	/** Executes each command with its injected fault. */
	private final FaultyCallExecutor call;

	/** Resident models by id. Guarded by this. */
	private final Map<ModelId, Resident> residents = new LinkedHashMap<>();

	/** Ids of running commands. Guarded by this. */
	private final Set<AttemptId> running = new HashSet<>();

	/** Ids of finished and refused commands, oldest first. Guarded by this. */
	private final List<AttemptId> settled = new ArrayList<>();

	/** Number of the incarnation. Guarded by this. */
	private int incarnation = 1;

	/** Sequence number of the last report. Guarded by this. */
	private long sequence;

	/** Highest fencing token that this incarnation has received. Guarded by this. */
	private FencingToken highestToken = FencingToken.ZERO;

	/** Role in disaggregated serving. Guarded by this. */
	private Role role = Role.MIXED;

	/** Memory that the legacy serving system holds, in bytes. Guarded by this. */
	private long legacyBytes;

	/** Whether the engine runs. Guarded by this. */
	private boolean isUp = true;

	/** Largest excess over the memory so far, in bytes. Guarded by this. */
	private long overcommittedBytes;

	private FakeEngineMemory(BackendServerId id, Settings settings, TimerService timer, FaultyCallExecutor call) {
		this.id = id;
		this.settings = settings;
		this.timer = timer;
		this.call = call;
		this.legacyBytes = settings.legacyBytes();
	}

	/**
	 * Returns an empty memory whose slow responses do not block.
	 * @param id the id of the engine and name of the fault target, not null
	 * @param settings the memory size, command handling and load times, not null
	 * @param timer the timer that ends loads and runs late commands, not null
	 * @param faults the source of injected faults, not null
	 * @return the memory, never null
	 */
	public static FakeEngineMemory create(BackendServerId id, Settings settings, TimerService timer,
			FaultInjector faults) {
		return create(id, settings, timer, faults, (delay) -> {
		});
	}

	/**
	 * Returns an empty memory.
	 * @param id the id of the engine and name of the fault target, not null
	 * @param settings the memory size, command handling and load times, not null
	 * @param timer the timer that ends loads and runs late commands, not null
	 * @param faults the source of injected faults, not null
	 * @param pause called with the delay of a slow exchange; may block, not null
	 * @return the memory, never null
	 */
	public static FakeEngineMemory create(BackendServerId id, Settings settings, TimerService timer,
			FaultInjector faults, Consumer<Duration> pause) {
		Objects.requireNonNull(settings, "settings");
		FaultyCallExecutor call = new FaultyCallExecutor(timer, faults, id.value(), pause);
		return new FakeEngineMemory(id, settings, timer, call);
	}

	/**
	 * Sends a command to the engine, with the injected fault.
	 * @param command the command, not null
	 * @return the outcome that the sender sees
	 */
	public CommandResult send(EngineCommand command) {
		return this.call.run(() -> execute(command), () -> CommandResult.UNKNOWN, () -> CommandResult.NOT_SENT);
	}

	/**
	 * Executes a command without injected faults. A command whose id is running or among
	 * the retained settled ids is not executed again.
	 * @param command the command, not null
	 * @return the outcome, {@link CommandResult#NOT_SENT} if the engine is stopped
	 */
	public synchronized CommandResult execute(EngineCommand command) {
		if (!this.isUp) {
			return CommandResult.NOT_SENT;
		}
		if (this.running.contains(command.attempt()) || this.settled.contains(command.attempt())) {
			return CommandResult.ACCEPTED;
		}
		if (this.settings.isTokenChecked() && command.token().compareTo(this.highestToken) < 0) {
			settle(command.attempt());
			return CommandResult.REFUSED_TOKEN;
		}
		if (command.token().compareTo(this.highestToken) > 0) {
			this.highestToken = command.token();
		}
		start(command);
		return CommandResult.ACCEPTED;
	}

	/** Stops the engine; its residents and command ids are lost. */
	public synchronized void stop() {
		this.isUp = false;
		this.residents.clear();
		this.running.clear();
		this.settled.clear();
	}

	/** Restarts the engine as a new incarnation, without residents or a fencing token. */
	public synchronized void restart() {
		stop();
		this.isUp = true;
		this.incarnation++;
		this.sequence = 0;
		this.highestToken = FencingToken.ZERO;
		this.role = Role.MIXED;
	}

	/**
	 * Returns whether the engine runs.
	 * @return false between a stop and a restart
	 */
	public synchronized boolean isUp() {
		return this.isUp;
	}

	/**
	 * Sets the memory that the legacy serving system holds.
	 * @param bytes the memory in bytes, zero or more
	 */
	public synchronized void setLegacyBytes(long bytes) {
		this.legacyBytes = bytes;
		recordOvercommit();
	}

	/**
	 * Returns the largest excess over the memory so far.
	 * @return the excess in bytes, 0 if the memory was never exceeded
	 */
	public synchronized long overcommittedBytes() {
		return this.overcommittedBytes;
	}

	/**
	 * Returns the next report, with {@link Load#NONE}.
	 * @return the report, never null
	 */
	public EngineReport report() {
		return report(Load.NONE);
	}

	/**
	 * Returns the next report.
	 * @param load the load and limits to report, not null
	 * @return the report, never null
	 */
	public synchronized EngineReport report(Load load) {
		this.sequence++;
		return new EngineReport(this.id, this.id + "#" + this.incarnation, this.sequence, this.settings.memoryBytes(),
				this.legacyBytes, List.copyOf(this.residents.values()), this.settled, this.highestToken,
				this.settings.isTokenChecked(), this.role, load.running(), load.queued(), load.kvTokensUsed(),
				load.kvTokensCapacity(), load.prefillTokensPerSecond(), load.decodeTokensPerSecond(), load.isLeaving());
	}

	private void start(EngineCommand command) {
		Resident old = this.residents.get(command.model());
		switch (command.action()) {
			case LOAD_MODEL, LOAD_ADAPTER -> {
				if (old != null && old.state() != ResidentState.UNLOADING) {
					settle(command.attempt());
					return;
				}
				startTransfer(command, ResidentState.LOADING, this.settings.loadTime());
			}
			case UNLOAD_MODEL, UNLOAD_ADAPTER -> {
				if (old == null) {
					settle(command.attempt());
					return;
				}
				startTransfer(command, ResidentState.UNLOADING, this.settings.unloadTime());
			}
			default -> {
				this.role = Role.valueOf(command.model().value());
				settle(command.attempt());
			}
		}
	}

	private void startTransfer(EngineCommand command, ResidentState state, Duration time) {
		Resident old = this.residents.get(command.model());
		long bytes = (old != null) ? old.bytes() : command.bytes();
		Resident transferring = new Resident(command.model(), bytes, state);
		this.residents.put(command.model(), transferring);
		this.running.add(command.attempt());
		recordOvercommit();
		int startIncarnation = this.incarnation;
		this.timer.after(time, () -> finish(command, transferring, startIncarnation));
	}

	private synchronized void finish(EngineCommand command, Resident transferring, int startIncarnation) {
		if (startIncarnation != this.incarnation || !this.running.remove(command.attempt())) {
			return;
		}
		settle(command.attempt());
		if (this.residents.get(command.model()) != transferring) {
			return;
		}
		if (transferring.state() == ResidentState.LOADING) {
			this.residents.put(transferring.model(),
					new Resident(transferring.model(), transferring.bytes(), ResidentState.READY));
		}
		else {
			this.residents.remove(transferring.model());
		}
	}

	private void settle(AttemptId attempt) {
		this.settled.remove(attempt);
		this.settled.add(attempt);
		while (this.settled.size() > this.settings.maxSettledIds()) {
			this.settled.remove(0);
		}
	}

	private void recordOvercommit() {
		long used = this.legacyBytes + this.residents.values().stream().mapToLong(Resident::bytes).sum();
		this.overcommittedBytes = Math.max(this.overcommittedBytes, used - this.settings.memoryBytes());
	}

	/**
	 * Memory size, command handling and load times of an engine. Immutable and
	 * thread-safe.
	 *
	 * @param memoryBytes the memory for weights, in bytes, positive
	 * @param legacyBytes the memory that the legacy serving system holds initially, in
	 * bytes
	 * @param isTokenChecked whether commands with an older fencing token are refused
	 * @param maxSettledIds the largest number of settled command ids that are retained
	 * @param loadTime the duration of a load, not null
	 * @param unloadTime the duration of an unload, not null
	 */
	public record Settings(long memoryBytes, long legacyBytes, boolean isTokenChecked, int maxSettledIds,
			Duration loadTime, Duration unloadTime) {

		/** Creates settings. */
		public Settings {
			Objects.requireNonNull(loadTime, "loadTime");
			Objects.requireNonNull(unloadTime, "unloadTime");
		}

		/**
		 * Returns settings of an engine without legacy bytes that ignores fencing tokens,
		 * retains 64 settled command ids, loads in 2 s and unloads in 100 ms.
		 * @param memoryBytes the memory for weights, in bytes, positive
		 * @return the settings, never null
		 */
		public static Settings ofMemory(long memoryBytes) {
			return new Settings(memoryBytes, 0, false, 64, Duration.ofSeconds(2), Duration.ofMillis(100));
		}

		/**
		 * Returns a copy that checks or ignores fencing tokens.
		 * @param isChecked whether commands with an older fencing token are refused
		 * @return the copy, never null
		 */
		public Settings withTokenChecked(boolean isChecked) {
			return new Settings(this.memoryBytes, this.legacyBytes, isChecked, this.maxSettledIds, this.loadTime,
					this.unloadTime);
		}

		/**
		 * Returns a copy with another limit of settled command ids.
		 * @param limit the largest number of settled command ids that are retained
		 * @return the copy, never null
		 */
		public Settings withMaxSettledIds(int limit) {
			return new Settings(this.memoryBytes, this.legacyBytes, this.isTokenChecked, limit, this.loadTime,
					this.unloadTime);
		}

		/**
		 * Returns a copy with another memory use of the legacy serving system.
		 * @param bytes the memory in bytes, zero or more
		 * @return the copy, never null
		 */
		public Settings withLegacyBytes(long bytes) {
			return new Settings(this.memoryBytes, bytes, this.isTokenChecked, this.maxSettledIds, this.loadTime,
					this.unloadTime);
		}

	}

	/**
	 * Load and limits in a report, beside the memory. Immutable and thread-safe.
	 *
	 * @param running the number of requests in the batch
	 * @param queued the number of requests that wait in the engine
	 * @param kvTokensUsed the KV cache in use, in tokens
	 * @param kvTokensCapacity the size of the KV cache, in tokens
	 * @param prefillTokensPerSecond the recent prefill rate, in tokens a second
	 * @param decodeTokensPerSecond the recent decode rate, in tokens a second
	 * @param isLeaving whether the engine is to get no new work
	 */
	public record Load(int running, int queued, long kvTokensUsed, long kvTokensCapacity, double prefillTokensPerSecond,
			double decodeTokensPerSecond, boolean isLeaving) {

		/** Idle engine with a KV cache of 100,000 tokens. */
		public static final Load NONE = new Load(0, 0, 0, 100_000, 0, 0, false);

	}

}
