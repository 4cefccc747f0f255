package org.celeryhill.fake;

import java.time.Duration;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.celeryhill.base.TimerService;
import org.celeryhill.port.ObjectService;

/**
 * In-memory object service. Its fault target is {@code object}. Thread-safe.
 */
public final class FakeObjectService implements ObjectService {

	/** Name of the fault target. */
	public static final String TARGET = "object";

	/** Objects by name. Guarded by this. */
	private final Map<String, byte[]> objects = new HashMap<>();

	/** Executes each call with its injected fault. */
	private final FaultyCallExecutor call;

	private FakeObjectService(FaultyCallExecutor call) {
		this.call = call;
	}

	/**
	 * Returns an empty service whose slow responses do not block.
	 * @param timer the timer that runs late effects, not null
	 * @param faults the source of injected faults, not null
	 * @return the service, never null
	 */
	public static FakeObjectService create(TimerService timer, FaultInjector faults) {
		return create(timer, faults, (delay) -> {
		});
	}

	/**
	 * Returns an empty service.
	 * @param timer the timer that runs late effects, not null
	 * @param faults the source of injected faults, not null
	 * @param pause called with the delay of a slow exchange; may block, not null
	 * @return the service, never null
	 */
	public static FakeObjectService create(TimerService timer, FaultInjector faults, Consumer<Duration> pause) {
		return new FakeObjectService(new FaultyCallExecutor(timer, faults, TARGET, pause));
	}

	@Override
	public PutResult put(String name, byte[] bytes) {
		byte[] copy = bytes.clone();
		return this.call.run(() -> putNow(name, copy), () -> PutResult.UNKNOWN, () -> PutResult.UNKNOWN);
	}

	@Override
	public GetResult get(String name) {
		return this.call.run(() -> getNow(name), () -> new GetFailed("no response"), () -> new GetFailed("down"));
	}

	private synchronized PutResult putNow(String name, byte[] bytes) {
		byte[] old = this.objects.putIfAbsent(name, bytes);
		return (old == null || Arrays.equals(old, bytes)) ? PutResult.STORED : PutResult.DIFFERENT;
	}

	private synchronized GetResult getNow(String name) {
		byte[] bytes = this.objects.get(name);
		return (bytes != null) ? new Content(bytes.clone()) : new Missing(name);
	}

}
