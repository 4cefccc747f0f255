package org.celeryhill.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

import org.celeryhill.standin.StandinMain;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.MethodOrderer;
import org.junit.jupiter.api.Order;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.TestMethodOrder;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the command-line interface with stand-ins for the table service, object
 * service and host list. The tests run in order, as later tests use revisions that
 * earlier tests applied.
 */
@TestMethodOrder(MethodOrderer.OrderAnnotation.class)
class CeleryhillMainTests {

	private static final String DEMO_DIRECTORY = "../examples/demo";

	@TempDir
	private static Path directory;

	private static Thread standinThread;

	private static List<String> storeFlags;

	private static String hostListUrl;

	@BeforeAll
	static void startStandins() throws IOException, InterruptedException {
		Path addresses = directory.resolve("addresses");
		standinThread = new Thread(() -> new CommandLine(new StandinMain()).execute("--engines", "1", "--plain-servers",
				"1", "--addresses-file", addresses.toString()), "standins");
		standinThread.setDaemon(true);
		standinThread.start();
		for (int i = 0; i < 200 && !Files.exists(addresses); i++) {
			Thread.sleep(50);
		}
		Map<String, String> addressesByName = Files.readAllLines(addresses)
			.stream()
			.map((line) -> line.split("=", 2))
			.collect(Collectors.toMap((parts) -> parts[0], (parts) -> parts[1]));
		hostListUrl = addressesByName.get("hosts");
		storeFlags = List.of("--table-url", addressesByName.get("table"), "--object-url",
				addressesByName.get("object"));
	}

	@AfterAll
	static void stopStandins() {
		standinThread.interrupt();
	}

	private static Result run(String command, String... arguments) {
		List<String> line = new ArrayList<>(List.of(command));
		line.addAll(List.of(arguments));
		StringWriter out = new StringWriter();
		StringWriter err = new StringWriter();
		int status = CeleryhillMain.create()
			.setOut(new PrintWriter(out))
			.setErr(new PrintWriter(err))
			.execute(line.toArray(String[]::new));
		return new Result(status, out.toString(), err.toString());
	}

	private static Result runWithStores(String command, String... arguments) {
		List<String> line = new ArrayList<>(storeFlags);
		line.addAll(List.of(arguments));
		return run(command, line.toArray(String[]::new));
	}

	/** Guards against {@code check} requiring a service although it only reads files. */
	@Test
	@Order(1)
	void checkRunsWithoutServices() {
		assertThat(run("check", DEMO_DIRECTORY, "--output", "json").out()).contains("\"organisations\" : 4");
	}

	/** Guards against applying invalid files, and against findings without a position. */
	@Test
	@Order(2)
	void invalidFilesAreReportedAndNotApplied() throws IOException {
		Path file = Files.writeString(directory.resolve("bad.yaml"), "organisation: x\nservice: y\nclasses: [fast]\n");
		Result result = runWithStores("apply", file.toString());
		assertThat(result.status()).isEqualTo(2);
		assertThat(result.err()).contains("bad.yaml:3 classes[0]: error: unknown priority class 'fast'");
		assertThat(runWithStores("get").err()).contains("no revision has been accepted yet");
	}

	/**
	 * Guards against a lost update: two operators edit the same revision, and the second
	 * one to apply overwrites the change of the first.
	 */
	@Test
	@Order(3)
	void applyWithOutdatedExpectedRevisionIsConflict() {
		assertThat(runWithStores("diff", DEMO_DIRECTORY).out()).contains("organisation/mill-a/beater-llm/weight");
		assertThat(runWithStores("apply", DEMO_DIRECTORY, "--expect", "0", "--author", "first").status()).isZero();
		Result second = runWithStores("apply", DEMO_DIRECTORY, "--expect", "0", "--author", "second");
		assertThat(second.status()).isEqualTo(1);
		assertThat(second.err()).contains("conflict: revision 1 was accepted meanwhile");
		assertThat(runWithStores("history").out()).contains("first").doesNotContain("second");
		assertThat(runWithStores("diff", DEMO_DIRECTORY, "--output", "json").out()).isEqualToIgnoringNewLines("[ ]");
	}

	/** Guards against {@code get} returning files that differ from those applied. */
	@Test
	@Order(4)
	void getReturnsFilesAsApplied() throws IOException {
		Path target = directory.resolve("copy");
		assertThat(runWithStores("get", "1", "--to", target.toString()).status()).isZero();
		assertThat(Files.readString(target.resolve("mill-a.yaml")))
			.isEqualTo(Files.readString(Path.of(DEMO_DIRECTORY, "mill-a.yaml")));
	}

	/** Guards against a planned stop that is not stored or cannot be cancelled. */
	@Test
	@Order(5)
	void plannedStopIsAnnouncedAndCancelled() {
		assertThat(runWithStores("plan-stop", "backend-server", "beater-llm-1", "--reason", "repair").out())
			.contains("ANNOUNCED", "repair");
		assertThat(runWithStores("status").out()).contains("backend_server/beater-llm-1", "ANNOUNCED");
		Result clear = runWithStores("plan-stop", "backend-server", "beater-llm-1", "--action", "clear");
		assertThat(clear.status()).isEqualTo(1);
		assertThat(runWithStores("plan-stop", "backend-server", "beater-llm-1", "--action", "cancel").out())
			.contains("CANCELLED");
	}

	/**
	 * Guards against accepting, without {@code --allow-unplaceable}, a model that no
	 * engine has enough memory for.
	 */
	@Test
	@Order(5)
	void modelWithoutEnoughEngineMemoryIsRefused() throws IOException {
		Path files = Files.createDirectories(directory.resolve("large"));
		for (String name : List.of("beater-llm.yaml", "dispatch.yaml", "mill-a.yaml")) {
			Files.writeString(files.resolve(name),
					Files.readString(Path.of(DEMO_DIRECTORY, name)).replace("size: 16GiB", "size: 900GiB"));
		}
		Result refused = runWithStores("apply", files.toString(), "--host-list-url", hostListUrl, "--expect", "1");
		assertThat(refused.status()).isEqualTo(1);
		assertThat(refused.err()).contains("mill-a/furnish@1").contains("nothing was changed");
		assertThat(runWithStores("history", "--output", "json").out()).doesNotContain("\"revision\" : 2");
		Result allowed = runWithStores("apply", files.toString(), "--host-list-url", hostListUrl, "--expect", "1",
				"--allow-unplaceable");
		assertThat(allowed.status()).isZero();
	}

	/** Guards against a store outage that is reported as success or as a stack trace. */
	@Test
	@Order(6)
	void unreachableStoreIsReported() {
		Result result = run("apply", DEMO_DIRECTORY, "--table-url", "http://127.0.0.1:1", "--object-url",
				"http://127.0.0.1:1");
		assertThat(result.status()).isEqualTo(3);
		assertThat(result.err()).contains("store unavailable").contains("nothing was changed");
		assertThat(result.err()).doesNotContain("\tat ");
	}

	/** Guards against an error message that does not name the missing flag. */
	@Test
	@Order(7)
	void missingFlagIsNamedInError() {
		Result result = run("history");
		assertThat(result.status()).isEqualTo(2);
		assertThat(result.err()).contains("--table-url");
	}

	private record Result(int status, String out, String err) {

	}

}
