package org.celeryhill.soak;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

import org.celeryhill.base.KnownRedCondition;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.api.io.CleanupMode;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests for {@link Soak} with edge daemons as separate processes.
 */
@Timeout(120)
@ExtendWith(KnownRedCondition.class)
class SoakTests {

	@TempDir(cleanup = CleanupMode.ON_SUCCESS)
	Path folder;

	private static SoakSettings settings(String... options) {
		SoakSettings settings = new SoakSettings();
		CommandLine.populateCommand(settings, options);
		settings.directory = Path.of("..");
		settings.classPath = System.getProperty("java.class.path");
		assertThat(settings.check()).isEmpty();
		return settings;
	}

	// Prints what was found into the message of a failure.
	private void assertKeepsPromises(SoakSettings settings) throws IOException {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		boolean isHeld = SoakMain.run(settings, this.folder, new PrintStream(output, true, StandardCharsets.UTF_8));
		assertThat(isHeld).as(output.toString(StandardCharsets.UTF_8)).isTrue();
	}

	// Guards against a promise broken beside stops, kills, pauses, store outages and
	// failing servers.
	@Test
	void promisesHoldBesideFaultsOfDaemonsStoreAndServers() throws IOException {
		assertKeepsPromises(settings("--seed=18", "--minutes=0.2", "--processes=3",
				"--only=STOP,KILL,PAUSE,ROLL,STORE_SILENT,STORE_BUSY,STORE_LOST,STORE_HISTORY,FAIL,REFUSE,RESET,"
						+ "TRUNCATE,SLOW,LEAVE,RETURN"));
	}

	// Guards against a copy of an earlier response that is taken for, or joined with, the
	// response to another request.
	@Test
	void promisesHoldBesideServersThatSendResponsesTwice() throws IOException {
		assertKeepsPromises(
				settings("--seed=3", "--minutes=0.2", "--processes=2", "--callers=8", "--only=STUTTER,FAIL,REFUSE"));
	}

	// Guards against a response whose head is not valid HTTP, such as one with status
	// 000,
	// that reaches a caller.
	@Test
	void promisesHoldBesideServersThatSendMalformedHeads() throws IOException {
		assertKeepsPromises(
				settings("--seed=5", "--minutes=0.1", "--processes=2", "--callers=8", "--only=MALFORM,FAIL,REFUSE"));
	}

	// Guards against a soak that does not notice a broken promise.
	@ParameterizedTest
	@CsvSource({ "OTHER_BODY, MIXED", "OTHER_STATUS, MIXED", "SECOND_RUN, TWICE", "FALSE_REFUSAL, REFUSED",
			"OTHER_TARGET, UNASKED", "MISSING_EVENT, ORDER", "LOST_RESPONSE, LOST", "DENIAL, DENIED",
			"HIDDEN_KILL, ENDED", "LARGE_MEMORY, MEMORY", "IDLE_DAEMON, RECOVER" })
	void plantedFaultIsFound(PlantedFault planted, Promise promise) throws IOException {
		SoakSettings settings = settings("--minutes=0.02", "--processes=2", "--callers=8", "--only=STORE_HISTORY",
				"--stop-at-first");
		settings.planted = planted;
		try (Soak soak = new Soak(settings, this.folder)) {
			SoakResult result = soak.run();
			assertThat(result.violations()).extracting(Violation::promise).contains(promise);
		}
	}

	// Guards against findings that a sound system does not deserve.
	@Test
	void nothingIsFoundWithoutFault() throws IOException {
		assertKeepsPromises(settings("--minutes=0.02", "--processes=2", "--only=STORE_HISTORY"));
	}

	// Guards against a run whose requests are refused, which would keep every promise.
	@Test
	void allKindsOfRequestsAreServedWithoutFault() throws IOException {
		try (Soak soak = new Soak(settings("--minutes=0.02", "--processes=1", "--only=STORE_HISTORY"), this.folder)) {
			SoakResult result = soak.run();
			assertThat(result.requests()).containsOnlyKeys(RequestKind.values());
			assertThat(result.requests().values()).allMatch((outcomes) -> outcomes.containsKey(Outcome.SUCCESS));
		}
	}

}
