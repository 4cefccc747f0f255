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
 * Accelerator memory of one engine: runs commands, keeps residents, and counts bytes
 * beyond the memory as a violation instead of refusing the command. Faults of commands
 * come under the engine's id as target; a late copy reaches whatever incarnation runs
 * then. Thread-safe.
 */
public final class FakeEngineMemory {

	/** Id of the engine. */
	private final BackendServerId id;

	/** Fixed properties. */
	private final Settings settings;

	/** Time of loads and late commands. */
	private final TimerService timer;

	/** Runs each command under its fault. */
	private final FaultyCall call;

	/** Residents by model. Guarded by this. */
	private final Map<ModelId, Resident> residents = new LinkedHashMap<>();

	/** Commands under way. Guarded by this. */
	private final Set<AttemptId> running = new HashSet<>();

	/** Ids of finished and refused commands, oldest first. Guarded by this. */
	private final List<AttemptId> settled = new ArrayList<>();

	/** Number of the incarnation. Guarded by this. */
	private int incarnation = 1;

	/** Sequence of the last report. Guarded by this. */
	private long sequence;

	/** Highest token of this incarnation. Guarded by this. */
	private FencingToken highestToken = FencingToken.ZERO;

	/** Role. Guarded by this. */
	private Role role = Role.MIXED;

	/** Bytes of the legacy serving system. Guarded by this. */
	private long legacyBytes;

	/** Whether the engine runs. Guarded by this. */
	private boolean isUp = true;

	/** Most bytes beyond the memory at any time. Guarded by this. */
	private long overcommittedBytes;

	private FakeEngineMemory(BackendServerId id, Settings settings, TimerService timer, FaultyCall call) {
		this.id = id;
		this.settings = settings;
		this.timer = timer;
		this.call = call;
		this.legacyBytes = settings.legacyBytes();
	}

	/**
	 * Returns an empty memory whose slow answers do not block.
	 * @param id the engine, also the fault target, not null
	 * @param settings the fixed properties, not null
	 * @param timer the time of loads and late commands, not null
	 * @param faults the faults, not null
	 * @return the memory, never null
	 */
	public static FakeEngineMemory create(BackendServerId id, Settings settings, TimerService timer,
			FaultInjector faults) {
		return create(id, settings, timer, faults, (delay) -> {
		});
	}

	/**
	 * Returns an empty memory.
	 * @param id the engine, also the fault target, not null
	 * @param settings the fixed properties, not null
	 * @param timer the time of loads and late commands, not null
	 * @param faults the faults, not null
	 * @param pause called with the delay of a slow exchange, not null
	 * @return the memory, never null
	 */
	public static FakeEngineMemory create(BackendServerId id, Settings settings, TimerService timer,
			FaultInjector faults, Consumer<Duration> pause) {
		Objects.requireNonNull(settings, "settings");
		FaultyCall call = new FaultyCall(timer, faults, id.value(), pause);
		return new FakeEngineMemory(id, settings, timer, call);
	}

	/**
	 * Sends a command over the faulty network.
	 * @param command the command, not null
	 * @return the outcome as the sender sees it
	 */
	public CommandResult send(EngineCommand command) {
		return this.call.run(() -> execute(command), () -> CommandResult.UNKNOWN, () -> CommandResult.NOT_SENT);
	}

	/**
	 * Takes a command that has arrived, without faults. A command whose id is remembered
	 * is not run again.
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

	/** Stops the engine; its memory is lost. */
	public synchronized void stop() {
		this.isUp = false;
		this.residents.clear();
		this.running.clear();
		this.settled.clear();
	}

	/** Restarts the engine with a new incarnation, empty and with no memory of tokens. */
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
	 * Sets what the legacy serving system holds.
	 * @param bytes the bytes, zero or more
	 */
	public synchronized void setLegacyBytes(long bytes) {
		this.legacyBytes = bytes;
		checkMemory();
	}

	/**
	 * Returns the worst violation of the memory so far.
	 * @return the most bytes beyond the memory at any time, 0 if there was none
	 */
	public synchronized long overcommittedBytes() {
		return this.overcommittedBytes;
	}

	/**
	 * Returns the next report, with no load.
	 * @return the report, never null
	 */
	public EngineReport report() {
		return report(Load.NONE);
	}

	/**
	 * Returns the next report.
	 * @param load the part of the report that is not about memory, not null
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
				transfer(command, ResidentState.LOADING, this.settings.loadTime());
			}
			case UNLOAD_MODEL, UNLOAD_ADAPTER -> {
				if (old == null) {
					settle(command.attempt());
					return;
				}
				transfer(command, ResidentState.UNLOADING, this.settings.unloadTime());
			}
			default -> {
				this.role = Role.valueOf(command.model().value());
				settle(command.attempt());
			}
		}
	}

	private void transfer(EngineCommand command, ResidentState state, Duration time) {
		Resident old = this.residents.get(command.model());
		long bytes = (old != null) ? old.bytes() : command.bytes();
		Resident moving = new Resident(command.model(), bytes, state);
		this.residents.put(command.model(), moving);
		this.running.add(command.attempt());
		checkMemory();
		int started = this.incarnation;
		this.timer.after(time, () -> finish(command, moving, started));
	}

	private synchronized void finish(EngineCommand command, Resident moving, int started) {
		if (started != this.incarnation || !this.running.remove(command.attempt())) {
			return;
		}
		settle(command.attempt());
		if (this.residents.get(command.model()) != moving) {
			return;
		}
		if (moving.state() == ResidentState.LOADING) {
			this.residents.put(moving.model(), new Resident(moving.model(), moving.bytes(), ResidentState.READY));
		}
		else {
			this.residents.remove(moving.model());
		}
	}

	private void settle(AttemptId attempt) {
		this.settled.remove(attempt);
		this.settled.add(attempt);
		while (this.settled.size() > this.settings.maxSettledIds()) {
			this.settled.remove(0);
		}
	}

	private void checkMemory() {
		long used = this.legacyBytes + this.residents.values().stream().mapToLong(Resident::bytes).sum();
		this.overcommittedBytes = Math.max(this.overcommittedBytes, used - this.settings.memoryBytes());
	}

	/**
	 * Fixed properties of an engine. Immutable and thread-safe.
	 *
	 * @param memoryBytes the memory for weights, in bytes, positive
	 * @param legacyBytes what the legacy serving system holds at first, in bytes
	 * @param isTokenChecked whether commands with an older token are refused
	 * @param maxSettledIds how many settled command ids are kept
	 * @param loadTime the time of a load, not null
	 * @param unloadTime the time of an unload, not null
	 */
	public record Settings(long memoryBytes, long legacyBytes, boolean isTokenChecked, int maxSettledIds,
			Duration loadTime, Duration unloadTime) {

		/** Creates settings. */
		public Settings {
			Objects.requireNonNull(loadTime, "loadTime");
			Objects.requireNonNull(unloadTime, "unloadTime");
		}

		/**
		 * Returns settings of an engine without legacy bytes that ignores tokens,
		 * remembers 64 ids, loads in 2 s and unloads in 100 ms.
		 * @param memoryBytes the memory for weights, in bytes, positive
		 * @return the settings, never null
		 */
		public static Settings ofMemory(long memoryBytes) {
			return new Settings(memoryBytes, 0, false, 64, Duration.ofSeconds(2), Duration.ofMillis(100));
		}

		/**
		 * Returns a copy that checks or ignores tokens.
		 * @param isChecked whether commands with an older token are refused
		 * @return the copy, never null
		 */
		public Settings withTokenChecked(boolean isChecked) {
			return new Settings(this.memoryBytes, this.legacyBytes, isChecked, this.maxSettledIds, this.loadTime,
					this.unloadTime);
		}

		/**
		 * Returns a copy with another limit of remembered ids.
		 * @param limit how many settled command ids are kept
		 * @return the copy, never null
		 */
		public Settings withMaxSettledIds(int limit) {
			return new Settings(this.memoryBytes, this.legacyBytes, this.isTokenChecked, limit, this.loadTime,
					this.unloadTime);
		}

		/**
		 * Returns a copy with other bytes of the legacy serving system.
		 * @param bytes the bytes, zero or more
		 * @return the copy, never null
		 */
		public Settings withLegacyBytes(long bytes) {
			return new Settings(this.memoryBytes, bytes, this.isTokenChecked, this.maxSettledIds, this.loadTime,
					this.unloadTime);
		}

	}

	/**
	 * The part of a report that is not about memory. Immutable and thread-safe.
	 *
	 * @param running the requests that are being decoded
	 * @param queued the requests that wait in the engine
	 * @param kvTokensUsed the KV cache in use, in tokens
	 * @param kvTokensCapacity the KV cache, in tokens
	 * @param prefillTokensPerSecond the recent prefill rate, in tokens a second
	 * @param decodeTokensPerSecond the recent decode rate, in tokens a second
	 * @param isLeaving whether the engine is to get no new work
	 */
	public record Load(int running, int queued, long kvTokensUsed, long kvTokensCapacity, double prefillTokensPerSecond,
			double decodeTokensPerSecond, boolean isLeaving) {

		/** No load. */
		public static final Load NONE = new Load(0, 0, 0, 100_000, 0, 0, false);

	}

}
