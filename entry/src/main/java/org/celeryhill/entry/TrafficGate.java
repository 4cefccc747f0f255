package org.celeryhill.entry;

import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import java.util.function.Function;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.EventLog;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.TimerService;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficRequest;

/**
 * The one lock around {@link TrafficController}, and the thread that carries out its
 * decisions. Thread-safe.
 * <p>
 * Lock order: the lock of a {@link StreamRelay} or of a plain call may be held when the
 * lock of this class is taken, never the other way round. No blocking call and no
 * listener runs under the lock of this class; listeners run on the dispatch thread, which
 * holds no lock, so that two requests never hold each other's locks.
 */
final class TrafficGate implements AttemptRouter, AutoCloseable {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(TrafficGate.class);

	/** Longest time between two dispatches while requests are open, in nanoseconds. */
	private static final long BUSY_PERIOD = TimeUnit.MILLISECONDS.toNanos(20);

	/** Longest time between two dispatches while no request is open, in nanoseconds. */
	private static final long IDLE_PERIOD = TimeUnit.MILLISECONDS.toNanos(50);

	/** Decisions; only used under {@link #lock}. */
	private final TrafficController controller;

	/** Time passed to the controller. */
	private final TimerService timer;

	/** Guards {@link #controller}. */
	private final ReentrantLock lock = new ReentrantLock();

	/** Open requests. */
	private final Map<RequestId, Listener> listeners = new ConcurrentHashMap<>();

	/** Set when a dispatch may have something to do. */
	private final AtomicBoolean due = new AtomicBoolean();

	/** Carries out decisions. */
	private final Thread thread;

	/** Cleared on close. */
	private volatile boolean isOpen = true;

	TrafficGate(TrafficController controller, TimerService timer) {
		this.controller = Objects.requireNonNull(controller, "controller");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.thread = new Thread(this::run, "dispatch");
		this.thread.setDaemon(true);
	}

	void start() {
		this.thread.start();
	}

	@Override
	public Optional<TrafficAction.Refuse> offer(TrafficRequest request, Listener listener) {
		this.listeners.put(request.id(), listener);
		Optional<TrafficAction.Refuse> refused = locked((inner) -> inner.offer(request, this.timer.nanoTime()));
		if (refused.isPresent()) {
			this.listeners.remove(request.id());
		}
		else {
			wake();
		}
		return refused;
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed) {
		Optional<TrafficAction.Refuse> refused = locked((inner) -> inner.retry(request, failed, this.timer.nanoTime()));
		wake();
		return refused;
	}

	@Override
	public void progress(AttemptId attempt, int tokens) {
		update((inner) -> inner.progress(attempt, tokens, this.timer.nanoTime()));
	}

	@Override
	public void finish(AttemptId attempt, AttemptOutcome outcome) {
		update((inner) -> inner.finish(attempt, outcome, this.timer.nanoTime()));
		wake();
	}

	@Override
	public void close(RequestId request) {
		if (this.listeners.remove(request) != null) {
			update((inner) -> inner.cancel(request));
		}
	}

	/**
	 * Runs a function under the lock. It must not block.
	 * @param <T> the type of the result
	 * @param function the function, not null
	 * @return the result of the function
	 */
	<T> T locked(Function<TrafficController, T> function) {
		this.lock.lock();
		try {
			return function.apply(this.controller);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Runs a change under the lock. It must not block.
	 * @param change the change, not null
	 */
	void update(Consumer<TrafficController> change) {
		locked((inner) -> {
			change.accept(inner);
			return null;
		});
	}

	/** Makes the dispatch thread look at the queues soon. */
	void wake() {
		if (this.due.compareAndSet(false, true)) {
			LockSupport.unpark(this.thread);
		}
	}

	int openRequests() {
		return this.listeners.size();
	}

	private void run() {
		while (this.isOpen) {
			if (!this.due.get()) {
				LockSupport.parkNanos(this, this.listeners.isEmpty() ? IDLE_PERIOD : BUSY_PERIOD);
			}
			this.due.set(false);
			dispatch();
		}
	}

	/** Asks the controller for decisions and carries them out. */
	void dispatch() {
		List<TrafficAction> actions;
		try {
			actions = locked((inner) -> inner.dispatch(this.timer.nanoTime()));
		}
		catch (RuntimeException ex) {
			LOG.warn("dispatch_failed", "fault", ex);
			return;
		}
		for (TrafficAction action : actions) {
			try {
				carryOut(action);
			}
			catch (RuntimeException ex) {
				LOG.warn("action_failed", "request", action.request(), "fault", ex);
			}
		}
	}

	private void carryOut(TrafficAction action) {
		Listener listener = this.listeners.get(action.request());
		if (action instanceof TrafficAction.Send send) {
			if (listener == null) {
				finish(send.attempt(), AttemptOutcome.CANCELLED);
				return;
			}
			listener.onSend(send);
		}
		else if (action instanceof TrafficAction.Refuse refuse && listener != null) {
			listener.onRefuse(refuse);
		}
	}

	@Override
	public void close() {
		this.isOpen = false;
		LockSupport.unpark(this.thread);
	}

}
