package org.celeryhill.forward;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link PeriodicTask}.
 */
@Timeout(20)
class PeriodicTaskTests {

	// Guards against a task that never runs again after one failure: without the control
	// task a host keeps no lease and follows no configuration.
	@Test
	void runsAgainAfterFailure() throws Exception {
		CountDownLatch runs = new CountDownLatch(5);
		MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
		try {
			PeriodicTask.start(group.next(), "test", 5, () -> {
				runs.countDown();
				throw new IllegalStateException("failure of the test");
			});
			assertThat(runs.await(5, TimeUnit.SECONDS)).isTrue();
		}
		finally {
			group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
		}
	}

}
