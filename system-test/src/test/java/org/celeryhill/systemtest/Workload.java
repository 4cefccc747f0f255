package org.celeryhill.systemtest;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Streams and bookings of many callers at once, with the checks of what callers were told
 * against what ran.
 */
final class Workload implements AutoCloseable {

	/** Models that the streams use in turn, with the key of their organisation. */
	private static final List<String> MODELS = List.of("mill-a/furnish@1", "mill-b/furnish@1", "mill-a/grade-report@1",
			"mill-b/grade-report@1", "mill-a/line-1@1");

	/** Fleet under test. */
	private final Fleet fleet;

	/** Tokens of each streamed answer. */
	private final int tokens;

	/** Threads of the callers. */
	private final ExecutorService threads = Executors.newCachedThreadPool();

	/** Whether callers start further requests. */
	private final AtomicBoolean isRunning = new AtomicBoolean(true);

	/** Answers that ended. */
	private final List<Caller.Answer> answers = java.util.Collections.synchronizedList(new ArrayList<>());

	/** Outcome of each booking by idempotency key. */
	private final Map<String, Caller.Booking> bookings = new ConcurrentHashMap<>();

	/** Complete answer of each model, from an undisturbed run. */
	private final Map<String, String> expected = new ConcurrentHashMap<>();

	/** Callers that run. */
	private final List<Future<?>> callers = new ArrayList<>();

	Workload(Fleet fleet, int tokens) {
		this.fleet = fleet;
		this.tokens = tokens;
		for (String model : MODELS) {
			Caller.Answer answer = stream(model);
			assertThat(answer.isComplete()).as("undisturbed answer of " + model + ": " + answer).isTrue();
			this.expected.put(model, answer.text());
		}
	}

	private Caller.Answer stream(String model) {
		String organisation = model.substring(0, model.indexOf('/'));
		return this.fleet.caller(organisation + "-key").stream(model, "why is the furnish short", this.tokens);
	}

	/**
	 * Starts callers that stream one answer after the other.
	 * @param count the number of callers
	 */
	void startStreams(int count) {
		CountDownLatch started = new CountDownLatch(count);
		for (int i = 0; i < count; i++) {
			String model = MODELS.get(i % MODELS.size());
			this.callers.add(this.threads.submit(() -> {
				started.countDown();
				do {
					this.answers.add(check(model, stream(model)));
				}
				while (this.isRunning.get());
			}));
		}
		await(started);
	}

	private Caller.Answer check(String model, Caller.Answer answer) {
		if (answer.isComplete() && !answer.text().equals(this.expected.get(model))) {
			throw new AssertionError("another answer than undisturbed from " + model + ": " + answer.text()
					+ " expected: " + this.expected.get(model));
		}
		return answer;
	}

	/**
	 * Starts callers that book one call after the other.
	 * @param count the number of callers
	 */
	void startBookings(int count) {
		for (int i = 0; i < count; i++) {
			String prefix = "caller-" + i + "-";
			this.callers.add(this.threads.submit(() -> {
				Caller caller = this.fleet.caller("mill-a-key");
				int number = 0;
				do {
					String key = prefix + number++;
					this.bookings.put(key, caller.book(key));
				}
				while (this.isRunning.get());
			}));
		}
	}

	private static void await(CountDownLatch latch) {
		try {
			latch.await();
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

	/** Lets callers finish what they have begun. */
	void finish() {
		this.isRunning.set(false);
		for (Future<?> caller : this.callers) {
			try {
				caller.get(120, TimeUnit.SECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				throw new IllegalStateException(ex);
			}
			catch (java.util.concurrent.ExecutionException ex) {
				throw new AssertionError("a caller failed: " + ex.getCause().getMessage(), ex.getCause());
			}
			catch (java.util.concurrent.TimeoutException ex) {
				throw new AssertionError("a caller did not finish within 120 s", ex);
			}
		}
	}

	/** Fails unless every streamed answer arrived complete. */
	void assertAnswersComplete() {
		List<Caller.Answer> cut = this.answers.stream().filter((answer) -> !answer.isComplete()).toList();
		assertThat(cut).as("answers that are not complete, of " + this.answers.size()).isEmpty();
	}

	/** Fails if any booking ran twice or against what its caller was told. */
	void assertBookingsTruthful() {
		Map<String, Integer> executions = this.fleet.standins().executions();
		List<String> wrong = new ArrayList<>();
		this.bookings.forEach((key, booking) -> {
			int ran = executions.getOrDefault(key, 0);
			boolean isTruthful = switch (booking.execution()) {
				case "ran" -> ran == 1;
				case "not_run" -> ran == 0;
				default -> ran <= 1;
			};
			if (!isTruthful) {
				wrong.add(key + " told=" + booking.execution() + " executions=" + ran);
			}
		});
		executions.forEach((key, count) -> {
			if (count > 1) {
				wrong.add(key + " executions=" + count);
			}
		});
		assertThat(wrong).as("bookings run twice or reported wrongly, of " + this.bookings.size()).isEmpty();
	}

	long bookings(String execution) {
		return this.bookings.values().stream().filter((booking) -> booking.execution().equals(execution)).count();
	}

	/**
	 * Prints what happened as one line.
	 * @param test the name of the test
	 */
	void report(String test) {
		int resumes = this.answers.stream().mapToInt(Caller.Answer::resumes).sum();
		int refusals = this.answers.stream().mapToInt((answer) -> answer.refusals().size()).sum();
		System.out.println("system-test " + test + ": answers=" + this.answers.size() + " complete="
				+ this.answers.stream().filter(Caller.Answer::isComplete).count() + " resumes=" + resumes + " refusals="
				+ refusals + " bookings=" + this.bookings.size() + " ran=" + bookings("ran") + " unknown="
				+ bookings("unknown") + " not_run=" + bookings("not_run") + " broken=" + bookings("broken"));
	}

	@Override
	public void close() {
		this.isRunning.set(false);
		this.threads.shutdownNow();
	}

}
