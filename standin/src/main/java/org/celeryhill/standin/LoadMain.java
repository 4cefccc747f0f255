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
 * Load generator for streams. Requests start at fixed times whether or not earlier ones
 * have ended, and latencies count from the intended start, so that a stall of the target
 * shows in all requests that it delays.
 */
@Command(name = "load", mixinStandardHelpOptions = true,
		description = "Sends streams at a fixed rate and prints latencies. Exit status 1 if an answer was not whole.")
public final class LoadMain implements Callable<Integer> {

	/** Longest wait for the last streams. */
	private static final Duration DRAIN = Duration.ofSeconds(60);

	/** I/O threads of the generator. */
	private static final int IO_THREADS = 3;

	/** Settings. */
	@Mixin
	private LoadOptions options = new LoadOptions();

	/** Clients by target. */
	private final Map<URI, StreamClient> clients = new HashMap<>();

	/** Streams at once now. */
	private final AtomicInteger streams = new AtomicInteger();

	/** Most streams at once. */
	private final AtomicInteger mostStreams = new AtomicInteger();

	/** Prefix of the attempts of this run. */
	private final String run = "load-" + Long.toHexString(System.nanoTime()) + "-";

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
		SettingsChecks checks = this.options.check();
		if (!checks.isValid()) {
			checks.print(new PrintWriter(System.err, true));
			return SettingsChecks.EXIT_STATUS;
		}
		XnioWorker worker = IoWorkers.create(IO_THREADS, 1);
		this.options.targets()
			.forEach((target) -> this.clients.put(target, StreamClient.create(target, worker, Duration.ofSeconds(2))));
		LoadResults results = new LoadResults();
		runLoad(results);
		return (results.failures() == 0) ? 0 : 1;
	}

	private void runLoad(LoadResults results) throws InterruptedException, IOException {
		Semaphore places = new Semaphore(this.options.concurrency());
		LoadResults ignored = new LoadResults();
		long period = (long) (1e9 / this.options.rate());
		long start = System.nanoTime();
		long measured = start + this.options.warmUp().toNanos();
		long end = measured + this.options.duration().toNanos();
		ProcessUsage before = null;
		for (long i = 0, due = start; due < end; i++, due = start + i * period) {
			waitUntil(due);
			if (before == null && due >= measured) {
				before = ProcessUsage.of(this.options.watchPid());
			}
			places.acquire();
			LoadResults target = (due >= measured) ? results : ignored;
			target.started(System.nanoTime() - due);
			send(i, due, target, places);
		}
		ProcessUsage after = ProcessUsage.of(this.options.watchPid());
		places.tryAcquire(this.options.concurrency(), DRAIN.toMillis(), TimeUnit.MILLISECONDS);
		for (int i = this.streams.get(); i > 0; i--) {
			results.incomplete();
		}
		double seconds = this.options.duration().toNanos() / 1e9;
		results.print(System.out, seconds, this.mostStreams.get());
		if (before != null && this.options.watchPid() > 0) {
			System.out.println(after.describeSince(before));
		}
	}

	private static void waitUntil(long due) {
		for (long left = due - System.nanoTime(); left > 0; left = due - System.nanoTime()) {
			LockSupport.parkNanos(left);
		}
	}

	private void send(long index, long due, LoadResults results, Semaphore places) {
		this.mostStreams.accumulateAndGet(this.streams.incrementAndGet(), Math::max);
		LoadStream stream = new LoadStream(results, this.options.tokens(), due, () -> {
			this.streams.decrementAndGet();
			places.release();
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
		return new GenerateRequest(AttemptId.of(this.run + index), ModelId.of(this.options.model(index)), prompt(index),
				"", 0, this.options.tokens(), index, PriorityClass.parse(this.options.priority()));
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
		int times = this.options.promptChars() / text.length() + 1;
		return (head + text.repeat(times)).substring(0, Math.max(head.length(), this.options.promptChars()));
	}

}
