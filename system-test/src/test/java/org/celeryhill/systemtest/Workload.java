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
 * Runs streams and bookings of many concurrent callers, and compares the outcomes that
 * were reported to the callers with the executions on the backend servers.
 */
final class Workload implements AutoCloseable {

	/** Models that the callers use in turn; each id starts with its organisation. */
	private static final List<String> MODELS = List.of("mill-a/furnish@1", "mill-b/furnish@1", "mill-a/grade-report@1",
			"mill-b/grade-report@1", "mill-a/line-1@1");

	/** Fleet under test. */
	private final Fleet fleet;

	/** Number of tokens of each stream. */
	private final int tokens;

	/** Threads of the callers. */
	private final ExecutorService threads = Executors.newCachedThreadPool();

	/** Whether callers start another request when one has ended. */
	private final AtomicBoolean isStartingRequests = new AtomicBoolean(true);

	/** Results of all ended streams. */
	private final List<Caller.StreamResult> streamResults = java.util.Collections.synchronizedList(new ArrayList<>());

	/** Reported outcome of each booking by idempotency key. */
	private final Map<String, Caller.Booking> bookings = new ConcurrentHashMap<>();

	/** Text that each model generates without faults. */
	private final Map<String, String> expectedTexts = new ConcurrentHashMap<>();

	/** Tasks of all started callers. */
	private final List<Future<?>> callers = new ArrayList<>();

	Workload(Fleet fleet, int tokens) {
		this.fleet = fleet;
		this.tokens = tokens;
		for (String model : MODELS) {
			Caller.StreamResult result = stream(model);
			assertThat(result.isComplete()).as("stream without faults from " + model + ": " + result).isTrue();
			this.expectedTexts.put(model, result.text());
		}
	}

	private Caller.StreamResult stream(String model) {
		String organisation = model.substring(0, model.indexOf('/'));
		return this.fleet.newCaller(organisation + "-key").stream(model, "why is the furnish short", this.tokens);
	}

	/**
	 * Starts callers that stream one chat completion after the other.
	 * @param count the number of callers
	 */
	void startStreams(int count) {
		CountDownLatch started = new CountDownLatch(count);
		for (int i = 0; i < count; i++) {
			String model = MODELS.get(i % MODELS.size());
			this.callers.add(this.threads.submit(() -> {
				started.countDown();
				do {
					this.streamResults.add(requireExpectedText(model, stream(model)));
				}
				while (this.isStartingRequests.get());
			}));
		}
		await(started);
	}

	private Caller.StreamResult requireExpectedText(String model, Caller.StreamResult result) {
		if (result.isComplete() && !result.text().equals(this.expectedTexts.get(model))) {
			throw new AssertionError("stream from " + model + " differs from the one without faults: " + result.text()
					+ " expected: " + this.expectedTexts.get(model));
		}
		return result;
	}

	/**
	 * Starts callers that make one booking after the other.
	 * @param count the number of callers
	 */
	void startBookings(int count) {
		for (int i = 0; i < count; i++) {
			String prefix = "caller-" + i + "-";
			this.callers.add(this.threads.submit(() -> {
				Caller caller = this.fleet.newCaller("mill-a-key");
				int number = 0;
				do {
					String key = prefix + number++;
					this.bookings.put(key, caller.book(key));
				}
				while (this.isStartingRequests.get());
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

	/**
	 * Stops starting requests and waits until the running ones have ended.
	 * @throws AssertionError if a caller fails or does not finish within 120 s
	 */
	void finish() {
		this.isStartingRequests.set(false);
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

	/** Fails unless every stream arrived complete. */
	void assertStreamsComplete() {
		List<Caller.StreamResult> incomplete = this.streamResults.stream()
			.filter((result) -> !result.isComplete())
			.toList();
		assertThat(incomplete).as("incomplete streams out of " + this.streamResults.size()).isEmpty();
	}

	/**
	 * Fails if a booking ran more than once or if its number of executions contradicts
	 * the outcome reported to its caller.
	 */
	void assertBookingOutcomesCorrect() {
		Map<String, Integer> executionCounts = this.fleet.standinClient().readExecutionCounts();
		List<String> mismatches = new ArrayList<>();
		this.bookings.forEach((key, booking) -> {
			int executionCount = executionCounts.getOrDefault(key, 0);
			boolean isCorrect = switch (booking.execution()) {
				case "ran" -> executionCount == 1;
				case "not_run" -> executionCount == 0;
				default -> executionCount <= 1;
			};
			if (!isCorrect) {
				mismatches.add(key + " reported=" + booking.execution() + " executions=" + executionCount);
			}
		});
		executionCounts.forEach((key, count) -> {
			if (count > 1) {
				mismatches.add(key + " executions=" + count);
			}
		});
		assertThat(mismatches).as("bookings that ran twice or were reported wrongly, out of " + this.bookings.size())
			.isEmpty();
	}

	long countBookings(String execution) {
		return this.bookings.values().stream().filter((booking) -> booking.execution().equals(execution)).count();
	}

	/**
	 * Prints the counts of streams and bookings by outcome as one line.
	 * @param test the name of the test at the start of the line
	 */
	void printReport(String test) {
		int resumes = this.streamResults.stream().mapToInt(Caller.StreamResult::resumes).sum();
		int refusals = this.streamResults.stream().mapToInt((result) -> result.refusals().size()).sum();
		System.out.println("system-test " + test + ": answers=" + this.streamResults.size() + " complete="
				+ this.streamResults.stream().filter(Caller.StreamResult::isComplete).count() + " resumes=" + resumes
				+ " refusals=" + refusals + " bookings=" + this.bookings.size() + " ran=" + countBookings("ran")
				+ " unknown=" + countBookings("unknown") + " not_run=" + countBookings("not_run") + " broken="
				+ countBookings("broken"));
	}

	@Override
	public void close() {
		this.isStartingRequests.set(false);
		this.threads.shutdownNow();
	}

}
