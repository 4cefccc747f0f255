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
 * Simulates the code under test with fake services in virtual time and checks one promise
 * with an oracle. Subclasses run the steps of their promise; the steps for faults, time
 * and the wall clock are common to all. Not thread-safe.
 */
abstract class Simulation {

	/**
	 * Maximum delay of a delayed effect or duplicate. It must be below the copy bound of
	 * the ledger.
	 */
	static final Duration MAX_FAULT_DELAY = Duration.ofSeconds(20);

	/** Number of processes of each kind in a simulation. */
	static final int PROCESS_COUNT = 3;

	/** Maximum number of the table call of a step before which the held step runs. */
	private static final int MAX_CALLS_BEFORE_HELD = 5;

	/** Maximum number of faults in a burst, enough to fail all tries of a write. */
	private static final int MAX_BURST_FAULTS = 12;

	/** Delays and time steps that steps choose from, in milliseconds. */
	private static final long[] TIMES_MILLIS = { 1, 10, 100, 500, 1_000, 2_000, 3_400, 5_000, 7_000, 10_000, 15_000,
			20_000, 30_000, 61_000 };

	/** Kinds of faults that steps choose from. */
	private static final Fault[] FAULTS = { Fault.LOST_REQUEST, Fault.LOST_ANSWER, Fault.DELAYED_EFFECT,
			Fault.DUPLICATE, Fault.REORDER, Fault.DOWN, Fault.SLOW, Fault.DELAYED_ANSWER };

	/** Virtual time of the simulation. */
	protected final VirtualTimerService timer = VirtualTimerService.startingAt(Instant.parse("2030-01-01T00:00:00Z"));

	/** Faults of the fake services. */
	protected final FaultInjector faults = FaultInjector.ofSeed(1);

	/** Fake table service. */
	protected final FakeTableService table = FakeTableService.create(this.timer, this.faults, this::advanceTime);

	/** Fake object service. */
	protected final FakeObjectService objects = FakeObjectService.create(this.timer, this.faults, this::advanceTime);

	/**
	 * Number of the table call of the next step before which the held step runs, counted
	 * down from 1 or more; negative if no step is to be held.
	 */
	private int callsBeforeHeld = -1;

	/** Step that runs during the next one, null if there is none. */
	private Step heldStep;

	/** Names of the services and connections that faults can affect. */
	private final List<String> targets = new ArrayList<>(List.of(FakeTableService.TARGET));

	/**
	 * Returns the weights of the actions of this simulation, without the common ones. The
	 * names are part of saved traces, and their order decides which steps a seed gives.
	 * @return the weight by name of the action
	 */
	abstract Map<String, Integer> actionWeights();

	/**
	 * Runs a step whose action is not a common one.
	 * @param step the step to run
	 */
	abstract void runStep(Step step);

	/**
	 * Checks the promise in the current state.
	 * @throws PromiseBrokenException if the promise is violated
	 */
	abstract void checkPromise();

	/**
	 * Ends all faults, runs the simulation until it should have recovered and checks the
	 * promise and the recovered state.
	 * @throws PromiseBrokenException if the check fails
	 */
	abstract void checkRecovery();

	/**
	 * Returns the table service that all processes share. Broken variants override this.
	 * @return the table service
	 */
	protected TableService tableService() {
		return this.table;
	}

	/**
	 * Returns the table service of one process, which interleaves held steps.
	 * @param isAlive tells whether the process has not crashed
	 * @return the table service
	 */
	protected final TableService processTable(BooleanSupplier isAlive) {
		return new InterruptibleTableService(tableService(), this::runHeldStepIfDue, isAlive);
	}

	/**
	 * Returns the weights of all actions, including the common ones.
	 * @return the weight by name of the action, in alphabetical order
	 */
	final Map<String, Integer> allActionWeights() {
		Map<String, Integer> weights = new TreeMap<>(actionWeights());
		weights
			.putAll(Map.of("advance", 14, "fault", 10, "burst", 4, "down", 2, "rate", 1, "clock", 2, "interrupt", 12));
		return weights;
	}

	/**
	 * Runs a step and checks the promise. The step after an {@code interrupt} action is
	 * held and runs during the one that follows, before one of its table calls, as if the
	 * process of the latter were paused there.
	 * @param step the step to run
	 */
	final void applyStep(Step step) {
		if (step.action().equals("interrupt")) {
			this.callsBeforeHeld = 1 + step.a() % MAX_CALLS_BEFORE_HELD;
			return;
		}
		if (this.callsBeforeHeld > 0 && this.heldStep == null) {
			this.heldStep = step;
			return;
		}
		if (this.heldStep != null && mustRunBefore(this.heldStep, step)) {
			runHeldStep();
		}
		runStepAndCheck(step);
		runHeldStep();
	}

	private void runStepAndCheck(Step step) {
		switch (step.action()) {
			case "advance" -> this.timer.advance(chooseTime(step.a()));
			case "fault" ->
				this.faults.script(target(step.a()), FAULTS[step.b() % FAULTS.length], chooseFaultDelay(step.c()));
			case "burst" -> scheduleFaultBurst(target(step.a()), FAULTS[step.b() % FAULTS.length], step.c());
			case "down" -> this.faults.setDown(target(step.a()), step.b() % 2 == 0);
			case "rate" -> {
				this.faults.setDelay(target(step.a()), MAX_FAULT_DELAY);
				this.faults.setProbability(target(step.a()), FAULTS[step.b() % FAULTS.length], step.c() % 4 * 0.03);
			}
			case "clock" -> this.timer.stepWallClock(Duration.ofHours(step.a() - 30L));
			default -> runProcessStep(step);
		}
		checkPromise();
	}

	private void runProcessStep(Step step) {
		try {
			runStep(step);
		}
		catch (ProcessCrashedException ex) {
			// The crash has ended the step; later steps go on.
		}
	}

	private void scheduleFaultBurst(String target, Fault fault, int number) {
		for (int i = 0; i < number % 3; i++) {
			this.faults.script(target, Fault.NONE);
		}
		for (int i = 0; i <= number / 3 % MAX_BURST_FAULTS; i++) {
			this.faults.script(target, fault, chooseTime(number % 7));
		}
	}

	private void runHeldStepIfDue() {
		if (this.heldStep != null && --this.callsBeforeHeld <= 0) {
			runHeldStep();
		}
	}

	private void runHeldStep() {
		Step step = this.heldStep;
		this.heldStep = null;
		this.callsBeforeHeld = -1;
		if (step != null) {
			runStepAndCheck(step);
		}
	}

	// Steps of one process do not overlap, but its crash can occur during another step.
	private static boolean mustRunBefore(Step earlier, Step later) {
		return earlier.a() % PROCESS_COUNT == later.a() % PROCESS_COUNT && !earlier.action().equals("crash");
	}

	/** Ends the trace: runs a step that is still held and checks the recovery. */
	final void endTrace() {
		runHeldStep();
		checkRecovery();
	}

	/**
	 * Adds a target that faults can affect.
	 * @param target the name of the service or connection
	 */
	protected final void addFaultTarget(String target) {
		this.targets.add(target);
	}

	/**
	 * Returns the duration that an argument of a step selects.
	 * @param number the argument, zero or more
	 * @return the duration, one of a fixed list
	 */
	protected static Duration chooseTime(int number) {
		return Duration.ofMillis(TIMES_MILLIS[number % TIMES_MILLIS.length]);
	}

	/** Ends all faults and advances the time until all delayed effects have occurred. */
	protected final void endFaults() {
		this.faults.clear();
		this.timer.advance(MAX_FAULT_DELAY.plusSeconds(1));
	}

	/**
	 * Reports a violation of the promise unless a condition holds.
	 * @param holds whether the condition holds
	 * @param message the description of the violation
	 * @throws PromiseBrokenException if the condition does not hold
	 */
	protected static void require(boolean holds, String message) {
		if (!holds) {
			throw new PromiseBrokenException(message);
		}
	}

	private void advanceTime(Duration delay) {
		this.timer.advance(delay);
	}

	private String target(int number) {
		return this.targets.get(number % this.targets.size());
	}

	private static Duration chooseFaultDelay(int number) {
		Duration delay = chooseTime(number);
		return (delay.compareTo(MAX_FAULT_DELAY) > 0) ? MAX_FAULT_DELAY : delay;
	}

}
