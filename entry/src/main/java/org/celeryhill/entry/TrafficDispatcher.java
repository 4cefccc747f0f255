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
 * Guards the {@link TrafficController} with a lock and runs the thread that executes its
 * decisions. Thread-safe.
 * <p>
 * Lock order: the lock of a {@link GenerationRelay} or of a plain call may be held when
 * the lock of this class is acquired, never the other way round. No blocking call and no
 * listener runs under the lock of this class. Listeners run on the dispatch thread while
 * it holds no lock, so that requests cannot deadlock on each other's locks.
 */
final class TrafficDispatcher implements AttemptRouter, AutoCloseable {

	/** Log of this class. */
	private static final EventLog LOG = EventLog.of(TrafficDispatcher.class);

	/** Maximum time between two dispatches while requests are open, in nanoseconds. */
	private static final long MAX_BUSY_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** Maximum time between two dispatches while no request is open, in nanoseconds. */
	private static final long MAX_IDLE_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

	/** Makes the decisions; only accessed under {@link #lock}. */
	private final TrafficController controller;

	/** Clock whose time is passed to the controller. */
	private final TimerService timer;

	/** Guards {@link #controller}. */
	private final ReentrantLock lock = new ReentrantLock();

	/** Listeners of the open requests. */
	private final Map<RequestId, Listener> listeners = new ConcurrentHashMap<>();

	/** Set when the controller may have new decisions. */
	private final AtomicBoolean isDispatchDue = new AtomicBoolean();

	/** Dispatch thread. */
	private final Thread dispatchThread;

	/** Cleared when this object is closed. */
	private volatile boolean isOpen = true;

	TrafficDispatcher(TrafficController controller, TimerService timer) {
		this.controller = Objects.requireNonNull(controller, "controller");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.dispatchThread = new Thread(this::runDispatchLoop, "dispatch");
		this.dispatchThread.setDaemon(true);
	}

	void start() {
		this.dispatchThread.start();
	}

	@Override
	public Optional<TrafficAction.Refuse> admit(TrafficRequest request, Listener listener) {
		this.listeners.put(request.id(), listener);
		Optional<TrafficAction.Refuse> refused = withLock((traffic) -> traffic.offer(request, this.timer.nanoTime()));
		if (refused.isPresent()) {
			this.listeners.remove(request.id());
		}
		else {
			requestDispatch();
		}
		return refused;
	}

	@Override
	public Optional<TrafficAction.Refuse> retry(TrafficRequest request, AttemptId failed) {
		Optional<TrafficAction.Refuse> refused = withLock(
				(traffic) -> traffic.retry(request, failed, this.timer.nanoTime()));
		requestDispatch();
		return refused;
	}

	@Override
	public void progress(AttemptId attempt, int tokens) {
		update((traffic) -> traffic.progress(attempt, tokens, this.timer.nanoTime()));
	}

	@Override
	public void finishAttempt(AttemptId attempt, AttemptOutcome outcome) {
		update((traffic) -> traffic.finish(attempt, outcome, this.timer.nanoTime()));
		requestDispatch();
	}

	@Override
	public void closeRequest(RequestId request) {
		if (this.listeners.remove(request) != null) {
			update((traffic) -> traffic.cancel(request));
		}
	}

	/**
	 * Calls a function under the lock.
	 * @param <T> the result type of the function
	 * @param function the function to call, must not block, not null
	 * @return the result of the function
	 */
	<T> T withLock(Function<TrafficController, T> function) {
		this.lock.lock();
		try {
			return function.apply(this.controller);
		}
		finally {
			this.lock.unlock();
		}
	}

	/**
	 * Applies a change to the controller under the lock.
	 * @param change the change to apply, must not block, not null
	 */
	void update(Consumer<TrafficController> change) {
		withLock((traffic) -> {
			change.accept(traffic);
			return null;
		});
	}

	/** Wakes the dispatch thread, so that it asks the controller for decisions. */
	void requestDispatch() {
		if (this.isDispatchDue.compareAndSet(false, true)) {
			LockSupport.unpark(this.dispatchThread);
		}
	}

	int openRequestCount() {
		return this.listeners.size();
	}

	private void runDispatchLoop() {
		while (this.isOpen) {
			if (!this.isDispatchDue.get()) {
				LockSupport.parkNanos(this, this.listeners.isEmpty() ? MAX_IDLE_WAIT_NANOS : MAX_BUSY_WAIT_NANOS);
			}
			this.isDispatchDue.set(false);
			dispatch();
		}
	}

	/** Gets the decisions of the controller and executes them. */
	void dispatch() {
		List<TrafficAction> actions;
		try {
			actions = withLock((traffic) -> traffic.dispatch(this.timer.nanoTime()));
		}
		catch (RuntimeException ex) {
			LOG.warn("dispatch_failed", "fault", ex);
			return;
		}
		for (TrafficAction action : actions) {
			try {
				execute(action);
			}
			catch (RuntimeException ex) {
				LOG.warn("action_failed", "request", action.request(), "fault", ex);
			}
		}
	}

	private void execute(TrafficAction action) {
		Listener listener = this.listeners.get(action.request());
		if (action instanceof TrafficAction.Send send) {
			if (listener == null) {
				finishAttempt(send.attempt(), AttemptOutcome.CANCELLED);
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
		LockSupport.unpark(this.dispatchThread);
	}

}
