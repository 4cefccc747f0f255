package org.celeryhill.standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.URI;
import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.http.EnvironmentDefaults;
import org.celeryhill.http.IoWorkers;
import org.celeryhill.http.Json;
import org.celeryhill.http.LogSetup;
import org.celeryhill.http.SettingsChecks;
import org.celeryhill.http.StreamClient;
import org.celeryhill.port.GenerateRequest;
import org.xnio.XnioWorker;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;

/**
 * Load generator for streams. It is an open-loop generator: requests are scheduled at a
 * fixed rate independently of earlier ones. Latencies count from the scheduled start, so
 * that a stall of the target shows in all requests that it delays.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
		description = "Requests streams at a fixed rate and prints latencies. Exit status 1 if any request failed.")
public final class LoadMain implements Callable<Integer> {

	/** Longest wait for active streams to end after the last request was sent. */
	private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(60);

	/** Number of I/O threads of the generator. */
	private static final int IO_THREADS = 3;

	/** Settings of the run. */
	@Mixin
	private LoadOptions options = new LoadOptions();

	/** HTTP clients by target address. */
	private final Map<URI, StreamClient> clients = new HashMap<>();

	/** Number of streams that have not ended. */
	private final AtomicInteger activeStreams = new AtomicInteger();

	/** Largest number of streams at once so far. */
	private final AtomicInteger maxActiveStreams = new AtomicInteger();

	/** Prefix of the attempt ids, different for each run. */
	private final String attemptPrefix = "load-" + Long.toHexString(System.nanoTime()) + "-";

	/**
	 * Runs the load generator and exits with its status.
	 * @param args the flags, not null
	 */
	public static void main(String[] args) {
		LogSetup.install(Level.WARNING);
		CommandLine command = new CommandLine(new LoadMain());
		command.setDefaultValueProvider(new EnvironmentDefaults());
		System.exit(command.execute(args));
	}

	@Override
	public Integer call() throws InterruptedException, IOException {
		SettingsChecks checks = this.options.validate();
		if (!checks.isValid()) {
			checks.print(new PrintWriter(System.err, true));
			return SettingsChecks.EXIT_STATUS;
		}
		XnioWorker worker = IoWorkers.create(IO_THREADS, 1);
		this.options.targets()
			.forEach((target) -> this.clients.put(target, StreamClient.create(target, worker, Duration.ofSeconds(2))));
		LoadResults results = new LoadResults();
		runLoad(results);
		return (results.countFailures() == 0) ? 0 : 1;
	}

	private void runLoad(LoadResults results) throws InterruptedException, IOException {
		Semaphore permits = new Semaphore(this.options.concurrency());
		LoadResults warmUpResults = new LoadResults();
		long periodNanos = (long) (1e9 / this.options.rate());
		long startNanos = System.nanoTime();
		long measured = startNanos + this.options.warmUp().toNanos();
		long endNanos = measured + this.options.duration().toNanos();
		ProcessUsage usageBefore = null;
		for (long i = 0, dueNanos = startNanos; dueNanos < endNanos; i++, dueNanos = startNanos + i * periodNanos) {
			waitUntil(dueNanos);
			if (usageBefore == null && dueNanos >= measured) {
				usageBefore = ProcessUsage.read(this.options.watchPid());
			}
			permits.acquire();
			LoadResults target = (dueNanos >= measured) ? results : warmUpResults;
			target.recordStart(System.nanoTime() - dueNanos);
			sendRequest(i, dueNanos, target, permits);
		}
		ProcessUsage usageAfter = ProcessUsage.read(this.options.watchPid());
		permits.tryAcquire(this.options.concurrency(), DRAIN_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
		for (int i = this.activeStreams.get(); i > 0; i--) {
			results.recordIncomplete();
		}
		double seconds = this.options.duration().toNanos() / 1e9;
		results.print(System.out, seconds, this.maxActiveStreams.get());
		if (usageBefore != null && this.options.watchPid() > 0) {
			System.out.println(usageAfter.describeSince(usageBefore));
		}
	}

	private static void waitUntil(long dueNanos) {
		for (long remaining = dueNanos - System.nanoTime(); remaining > 0; remaining = dueNanos - System.nanoTime()) {
			LockSupport.parkNanos(remaining);
		}
	}

	private void sendRequest(long index, long dueNanos, LoadResults results, Semaphore permits) {
		this.maxActiveStreams.accumulateAndGet(this.activeStreams.incrementAndGet(), Math::max);
		LoadStream stream = new LoadStream(results, this.options.tokens(), dueNanos, () -> {
			this.activeStreams.decrementAndGet();
			permits.release();
		});
		StreamClient client = this.clients.get(this.options.target(index));
		Map<String, String> headers = new LinkedHashMap<>();
		headers.put("Content-Type", "application/json");
		headers.put("Accept", "text/event-stream");
		if (this.options.isDirect()) {
			client.start("POST", "/v1/streams", headers, Json.write(engineRequest(index)), stream);
			return;
		}
		headers.put("Authorization", "Bearer " + this.options.apiKey());
		headers.put("X-Priority", this.options.priority());
		client.start("POST", "/v1/chat/completions", headers, Json.write(chatRequest(index)), stream);
	}

	private GenerateRequest engineRequest(long index) {
		return new GenerateRequest(AttemptId.of(this.attemptPrefix + index), ModelId.of(this.options.model(index)),
				prompt(index), "", 0, this.options.tokens(), index, PriorityClass.parse(this.options.priority()));
	}

	private Map<String, Object> chatRequest(long index) {
		Map<String, Object> body = new LinkedHashMap<>();
		body.put("model", this.options.model(index));
		body.put("stream", true);
		body.put("max_tokens", this.options.tokens());
		body.put("seed", index);
		body.put("messages", List.of(Map.of("role", "user", "content", prompt(index))));
		return body;
	}

	private String prompt(long index) {
		String head = "request " + index + " ";
		String text = "state of the beater roll on this line ";
		int repeats = this.options.promptChars() / text.length() + 1;
		return (head + text.repeat(repeats)).substring(0, Math.max(head.length(), this.options.promptChars()));
	}

}
