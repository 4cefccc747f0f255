package org.celeryhill.soak;

/**
 * Starts daemon threads for blocking connections. Stateless and thread-safe.
 */
final class Threads {

	private Threads() {
	}

	static Thread start(String name, Runnable task) {
		Thread thread = new Thread(task, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	/**
	 * Waits.
	 * @param millis the time in milliseconds
	 * @throws IllegalStateException if the thread is interrupted
	 */
	static void sleep(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
			throw new IllegalStateException(ex);
		}
	}

}
