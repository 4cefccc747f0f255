package org.celeryhill.http;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of {@link BoundedLogHandler}.
 */
@Timeout(20)
class BoundedLogHandlerTests {

	private static BoundedLogHandler createHandler(OutputStream out) {
		BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(out));
		handler.setFormatter(new LogSetup.KeyValueFormatter());
		return handler;
	}

	private static LogRecord line(int number) {
		return new LogRecord(Level.INFO, "event=test number=" + number);
	}

	// Guards against log lines that are out of order or lost when the process exits.
	@Test
	void writesAllLinesInOrder() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		BoundedLogHandler handler = createHandler(out);
		for (int i = 0; i < 500; i++) {
			handler.publish(line(i));
		}
		handler.flush();
		String[] lines = out.toString(StandardCharsets.UTF_8).split(System.lineSeparator());
		assertThat(lines).hasSize(500);
		assertThat(lines[499]).contains("event=test number=499");
	}

	// Guards against a process that blocks because its output is not read, and against
	// log lines that are dropped without being counted.
	@Test
	void publishNeverBlocksAndDroppedLinesAreCounted() throws Exception {
		CountDownLatch outputReleased = new CountDownLatch(1);
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		OutputStream blockedOutput = new OutputStream() {
			@Override
			public void write(int value) {
				write(new byte[] { (byte) value }, 0, 1);
			}

			@Override
			public void write(byte[] bytes, int offset, int length) {
				try {
					outputReleased.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				output.write(bytes, offset, length);
			}
		};
		BoundedLogHandler handler = createHandler(blockedOutput);
		long start = System.nanoTime();
		for (int i = 0; i < 3 * BoundedLogHandler.QUEUE_CAPACITY; i++) {
			handler.publish(line(i));
		}
		assertThat(System.nanoTime() - start).isLessThan(5_000_000_000L);
		outputReleased.countDown();
		long end = System.nanoTime() + 10_000_000_000L;
		while (!output.toString(StandardCharsets.UTF_8).contains("log_lines_dropped") && System.nanoTime() < end) {
			Thread.sleep(20);
		}
		assertThat(output.toString(StandardCharsets.UTF_8)).containsPattern("event=log_lines_dropped count=[1-9]");
	}

}
