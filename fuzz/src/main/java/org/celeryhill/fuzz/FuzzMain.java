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
 * Command for long fuzzing runs. Exits with 0 if every promise held, 1 if one was broken
 * and 2 for invalid options. Not thread-safe.
 */
@Command(name = "fuzz", mixinStandardHelpOptions = true, description = "Fuzzes the state and decision code.")
public final class FuzzMain implements Callable<Integer> {

	/** Seed of the random steps. */
	@Option(names = "--seed", defaultValue = "1", description = "Seed of the random steps.")
	private long seed;

	/** Number of steps of one case. */
	@Option(names = "--steps", defaultValue = "120", description = "Number of steps of one case.")
	private int steps;

	/** Duration limit of the run over all promises, in minutes. */
	@Option(names = "--minutes", defaultValue = "1",
			description = "Duration limit of the run over all promises, in minutes.")
	private double minutes;

	/** Promise to fuzz, null for all. */
	@Option(names = "--promise", description = "Promise to fuzz, one of ${COMPLETION-CANDIDATES}; all by default.")
	private Promise promise;

	/** File with the trace to replay, null to fuzz. */
	@Option(names = "--replay", description = "File with steps to replay, one per line; --promise names the promise.")
	private Path replay;

	/** Real time, which bounds the run. */
	private final TimerService timer = SystemTimerService.create();

	private FuzzMain() {
	}

	/**
	 * Runs the command.
	 * @param args the command-line options, not null
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
		boolean isEveryPromiseHeld = true;
		for (Promise fuzzedPromise : promises) {
			isEveryPromiseHeld &= fuzz(fuzzedPromise, this.minutes / promises.size());
		}
		return (isEveryPromiseHeld) ? 0 : 1;
	}

	private boolean fuzz(Promise fuzzedPromise, double durationMinutes) {
		long endNanos = this.timer.nanoTime() + (long) (durationMinutes * Duration.ofMinutes(1).toNanos());
		BooleanSupplier isTimeOver = () -> this.timer.nanoTime() - endNanos >= 0;
		FuzzResult result = new FuzzRunner(fuzzedPromise.simulationFactory(), this.steps).run(this.seed, Long.MAX_VALUE,
				isTimeOver);
		printEvent("fuzz_result", "promise", fuzzedPromise.toOptionName(), "seed", this.seed, "cases", result.cases(),
				"steps", result.steps(), "failures", (result.failure().isPresent()) ? 1 : 0);
		result.failure().ifPresent((failure) -> printEvent(fuzzedPromise, failure));
		return result.failure().isEmpty();
	}

	private int replay(Promise replayedPromise) throws IOException {
		List<Step> trace = Files.readAllLines(this.replay)
			.stream()
			.filter((line) -> !line.isBlank() && !line.startsWith("#"))
			.map(Step::parse)
			.toList();
		var failure = new FuzzRunner(replayedPromise.simulationFactory(), trace.size()).replay(trace);
		printEvent("replay_result", "promise", replayedPromise.toOptionName(), "steps", trace.size(), "failures",
				(failure.isPresent()) ? 1 : 0);
		failure.ifPresent((found) -> printEvent(replayedPromise, found));
		return (failure.isPresent()) ? 1 : 0;
	}

	private static void printEvent(Promise brokenPromise, FuzzResult.Failure failure) {
		printEvent("promise_broken", "promise", brokenPromise.toOptionName(), "step", failure.step(), "message",
				failure.message());
		System.out.println("# trace for --promise " + brokenPromise.toOptionName() + " --replay FILE");
		failure.trace().forEach(System.out::println);
	}

	private static void printEvent(String event, Object... pairs) {
		System.out.println(EventLog.format(event, pairs));
	}

}
