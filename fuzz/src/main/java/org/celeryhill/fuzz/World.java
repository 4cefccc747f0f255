package org.celeryhill.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.VirtualTimerService;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.FakeTableService;
import org.celeryhill.fake.Fault;
import org.celeryhill.fake.FaultInjector;
import org.celeryhill.port.TableService;

/**
 * The system under test with its fakes, in virtual time, and the oracle of one promise.
 * Subclasses run the steps of their promise; faults, time and the clock are common to
 * all. Not thread-safe.
 */
abstract class World {

	/**
	 * Largest delay of a late effect or copy. It is below the copy bound of the ledger.
	 */
	static final Duration MAX_DELAY = Duration.ofSeconds(20);

	/** Processes of each kind in a world. */
	static final int PROCESSES = 3;

	/** Most table calls of a step before the held step runs. */
	private static final int MAX_CALLS_BEFORE_HELD = 5;

	/** Most faults in a burst: enough to use up all tries of a write. */
	private static final int MAX_BURST = 12;

	/** Delays and times that steps choose from, in milliseconds. */
	private static final long[] TIMES = { 1, 10, 100, 500, 1_000, 2_000, 3_400, 5_000, 7_000, 10_000, 15_000, 20_000,
			30_000, 61_000 };

	/** Faults that steps choose from. */
	private static final Fault[] FAULTS = { Fault.LOST_REQUEST, Fault.LOST_ANSWER, Fault.DELAYED_EFFECT,
			Fault.DUPLICATE, Fault.REORDER, Fault.DOWN, Fault.SLOW, Fault.DELAYED_ANSWER };

	/** Time. */
	protected final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.parse("2030-01-01T00:00:00Z"));

	/** Faults. */
	protected final FaultInjector faults = FaultInjector.ofSeed(1);

	/** Table service. */
	protected final FakeTableService table = FakeTableService.create(this.timer, this.faults, this::pause);

	/** Object service. */
	protected final FakeObjectService objects = FakeObjectService.create(this.timer, this.faults, this::pause);

	/** Table calls of the next step before the held step runs, negative for none. */
	private int callsBeforeHeld = -1;

	/** Step that runs in the middle of the next one, null if there is none. */
	private Step held;

	/** Targets of faults. */
	private final List<String> targets = new ArrayList<>(List.of(FakeTableService.TARGET));

	/**
	 * Returns the weights of the actions of this world, without the common ones.
	 * @return the weight by action
	 */
	abstract Map<String, Integer> actions();

	/**
	 * Runs a step that is not a common one.
	 * @param step the step
	 */
	abstract void run(Step step);

	/** Checks the promise. */
	abstract void check();

	/** Runs the world without faults until it should be at rest, and checks it. */
	abstract void finish();

	/**
	 * Returns the table service of the stores. Broken variants replace this.
	 * @return the table service
	 */
	protected TableService tableService() {
		return this.table;
	}

	/**
	 * Returns the table service of one process.
	 * @param isAlive tells whether the process has not crashed
	 * @return the table service
	 */
	protected final TableService processTable(BooleanSupplier isAlive) {
		return new ProcessTable(tableService(), this::beforeTableCall, isAlive);
	}

	/**
	 * Returns the weights of all actions.
	 * @return the weight by action
	 */
	final Map<String, Integer> allActions() {
		Map<String, Integer> all = new TreeMap<>(actions());
		all.putAll(Map.of("advance", 14, "fault", 10, "burst", 4, "down", 2, "rate", 1, "clock", 2, "interrupt", 12));
		return all;
	}

	/**
	 * Runs a step and checks the promise. The step after {@code interrupt} is held and
	 * runs in the middle of the one after it, before one of its table calls, as if the
	 * process of the latter were paused there.
	 * @param step the step
	 */
	final void apply(Step step) {
		if (step.action().equals("interrupt")) {
			this.callsBeforeHeld = 1 + step.a() % MAX_CALLS_BEFORE_HELD;
			return;
		}
		if (this.callsBeforeHeld > 0 && this.held == null) {
			this.held = step;
			return;
		}
		if (this.held != null && isSameProcess(this.held, step)) {
			runHeld();
		}
		runAny(step);
		runHeld();
	}

	private void runAny(Step step) {
		switch (step.action()) {
			case "advance" -> this.timer.advance(time(step.a()));
			case "fault" -> this.faults.script(target(step.a()), FAULTS[step.b() % FAULTS.length], delay(step.c()));
			case "burst" -> burst(target(step.a()), FAULTS[step.b() % FAULTS.length], step.c());
			case "down" -> this.faults.setDown(target(step.a()), step.b() % 2 == 0);
			case "rate" -> {
				this.faults.setDelay(target(step.a()), MAX_DELAY);
				this.faults.setProbability(target(step.a()), FAULTS[step.b() % FAULTS.length], step.c() % 4 * 0.03);
			}
			case "clock" -> this.timer.stepWallClock(Duration.ofHours(step.a() - 30L));
			default -> runOfProcess(step);
		}
		check();
	}

	private void runOfProcess(Step step) {
		try {
			run(step);
		}
		catch (ProcessCrashedException ex) {
			// The crash ended the step.
		}
	}

	private void burst(String target, Fault fault, int number) {
		for (int i = 0; i < number % 3; i++) {
			this.faults.script(target, Fault.NONE);
		}
		for (int i = 0; i <= number / 3 % MAX_BURST; i++) {
			this.faults.script(target, fault, time(number % 7));
		}
	}

	private void beforeTableCall() {
		if (this.held != null && --this.callsBeforeHeld <= 0) {
			runHeld();
		}
	}

	private void runHeld() {
		Step step = this.held;
		this.held = null;
		this.callsBeforeHeld = -1;
		if (step != null) {
			runAny(step);
		}
	}

	private static boolean isSameProcess(Step one, Step other) {
		return one.a() % PROCESSES == other.a() % PROCESSES && !one.action().equals("crash");
	}

	/** Ends the trace: a held step runs now. */
	final void end() {
		runHeld();
		finish();
	}

	/**
	 * Adds a target that faults can hit.
	 * @param target the target
	 */
	protected final void addTarget(String target) {
		this.targets.add(target);
	}

	/**
	 * Returns a time from the common list.
	 * @param number any number
	 * @return the time
	 */
	protected static Duration time(int number) {
		return Duration.ofMillis(TIMES[number % TIMES.length]);
	}

	/** Ends all faults and waits for late effects. */
	protected final void heal() {
		this.faults.clear();
		this.timer.advance(MAX_DELAY.plusSeconds(1));
	}

	/**
	 * Breaks the promise if a condition does not hold.
	 * @param holds whether it holds
	 * @param message what was seen
	 */
	protected static void require(boolean holds, String message) {
		if (!holds) {
			throw new PromiseBrokenException(message);
		}
	}

	private void pause(Duration delay) {
		this.timer.advance(delay);
	}

	private String target(int number) {
		return this.targets.get(number % this.targets.size());
	}

	private static Duration delay(int number) {
		Duration delay = time(number);
		return (delay.compareTo(MAX_DELAY) > 0) ? MAX_DELAY : delay;
	}

}
