package org.celeryhill.fuzz;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.function.BooleanSupplier;

import org.celeryhill.base.EventLog;
import org.celeryhill.base.SystemTimerService;
import org.celeryhill.base.TimerService;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command for long fuzzing runs. Exits with 0 if every promise held, 1 if one broke, 2
 * for wrong options. Not thread-safe.
 */
@Command(name = "fuzz", mixinStandardHelpOptions = true, description = "Fuzzes the state and decision code.")
public final class FuzzMain implements Callable<Integer> {

	/** Seed of the first round. */
	@Option(names = "--seed", defaultValue = "1", description = "Seed of the drawn steps.")
	private long seed;

	/** Steps of one case. */
	@Option(names = "--steps", defaultValue = "120", description = "Steps of one case.")
	private int steps;

	/** Bound of the run. */
	@Option(names = "--minutes", defaultValue = "1", description = "Bound of the run, in minutes.")
	private double minutes;

	/** Promise to fuzz. */
	@Option(names = "--promise", description = "One promise; all by default: ${COMPLETION-CANDIDATES}.")
	private Promise promise;

	/** Trace to replay. */
	@Option(names = "--replay", description = "Replays the steps of a file, one per line, for the promise.")
	private Path replay;

	/** Time. */
	private final TimerService timer = SystemTimerService.create();

	private FuzzMain() {
	}

	/**
	 * Runs the command.
	 * @param args the options, not null
	 */
	public static void main(String[] args) {
		System.exit(new CommandLine(new FuzzMain()).setCaseInsensitiveEnumValuesAllowed(true).execute(args));
	}

	@Override
	public Integer call() throws IOException {
		List<Promise> promises = (this.promise != null) ? List.of(this.promise) : Arrays.asList(Promise.values());
		if (this.replay != null) {
			return replay(promises.get(0));
		}
		boolean isHeld = true;
		for (Promise one : promises) {
			isHeld &= fuzz(one, this.minutes / promises.size());
		}
		return (isHeld) ? 0 : 1;
	}

	private boolean fuzz(Promise one, double share) {
		long end = this.timer.nanoTime() + (long) (share * Duration.ofMinutes(1).toNanos());
		BooleanSupplier isOver = () -> this.timer.nanoTime() - end >= 0;
		FuzzResult result = new FuzzRunner(one.factory(), this.steps).run(this.seed, Long.MAX_VALUE, isOver);
		print("fuzz_result", "promise", one.toName(), "seed", this.seed, "cases", result.cases(), "steps",
				result.steps(), "failures", (result.failure().isPresent()) ? 1 : 0);
		result.failure().ifPresent((failure) -> print(one, failure));
		return result.failure().isEmpty();
	}

	private int replay(Promise one) throws IOException {
		List<Step> trace = Files.readAllLines(this.replay)
			.stream()
			.filter((line) -> !line.isBlank() && !line.startsWith("#"))
			.map(Step::parse)
			.toList();
		var failure = new FuzzRunner(one.factory(), trace.size()).replay(trace);
		print("replay_result", "promise", one.toName(), "steps", trace.size(), "failures",
				(failure.isPresent()) ? 1 : 0);
		failure.ifPresent((found) -> print(one, found));
		return (failure.isPresent()) ? 1 : 0;
	}

	private static void print(Promise one, FuzzResult.Failure failure) {
		print("promise_broken", "promise", one.toName(), "step", failure.step(), "message", failure.message());
		System.out.println("# trace for --promise " + one.toName() + " --replay FILE");
		failure.trace().forEach(System.out::println);
	}

	private static void print(String event, Object... pairs) {
		System.out.println(EventLog.format(event, pairs));
	}

}
