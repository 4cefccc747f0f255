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
 * Tests of the log output.
 */
@Timeout(20)
class BoundedLogHandlerTests {

	private static BoundedLogHandler handler(OutputStream out) {
		BoundedLogHandler handler = new BoundedLogHandler(new PrintStream(out));
		handler.setFormatter(new LogSetup.KeyValueFormatter());
		return handler;
	}

	private static LogRecord line(int number) {
		return new LogRecord(Level.INFO, "event=test number=" + number);
	}

	// Guards against lines out of order or lost at the end of a process.
	@Test
	void writesAllLinesInOrder() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		BoundedLogHandler handler = handler(out);
		for (int i = 0; i < 500; i++) {
			handler.publish(line(i));
		}
		handler.flush();
		String[] lines = out.toString(StandardCharsets.UTF_8).split(System.lineSeparator());
		assertThat(lines).hasSize(500);
		assertThat(lines[499]).contains("event=test number=499");
	}

	// Guards against a process that stands still because nobody reads its output, and
	// against lines that are left out without a word.
	@Test
	void neverBlocksAndCountsWhatItLeavesOut() throws Exception {
		CountDownLatch reader = new CountDownLatch(1);
		ByteArrayOutputStream read = new ByteArrayOutputStream();
		OutputStream stuck = new OutputStream() {
			@Override
			public void write(int value) {
				write(new byte[] { (byte) value }, 0, 1);
			}

			@Override
			public void write(byte[] bytes, int offset, int length) {
				try {
					reader.await();
				}
				catch (InterruptedException ex) {
					Thread.currentThread().interrupt();
				}
				read.write(bytes, offset, length);
			}
		};
		BoundedLogHandler handler = handler(stuck);
		long start = System.nanoTime();
		for (int i = 0; i < 3 * BoundedLogHandler.CAPACITY; i++) {
			handler.publish(line(i));
		}
		assertThat(System.nanoTime() - start).isLessThan(5_000_000_000L);
		reader.countDown();
		long end = System.nanoTime() + 10_000_000_000L;
		while (!read.toString(StandardCharsets.UTF_8).contains("log_lines_dropped") && System.nanoTime() < end) {
			Thread.sleep(20);
		}
		assertThat(read.toString(StandardCharsets.UTF_8)).containsPattern("event=log_lines_dropped count=[1-9]");
	}

}
