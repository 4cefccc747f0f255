package org.celeryhill.cli;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import picocli.CommandLine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the history of a request from the logs of edge daemons.
 */
class RequestHistoryTests {

	private static final List<String> LINES = List.of(
			"  7.1 edge-2 time=2026-09-11T22:35:41.100Z level=INFO logger=x event=command_decided engine=i-1 load=true "
					+ "model=m1 cold=true reason=gain_4.2",
			"  7.0 edge-2 time=2026-09-11T22:35:41.000Z level=INFO logger=x event=lease_granted token=2",
			"  9.0 edge-1 time=2026-09-11T22:35:43.000Z level=INFO logger=x event=request_ended request=abc.7 route=r "
					+ "service=s model=m1/a2 status=503 reason=model_absent server=none sends=0 events=0 ms=1",
			"  9.1 edge-1 time=2026-09-11T22:35:43.100Z level=INFO logger=x event=request_ended request=abcd.8 route=r "
					+ "service=s model=m2 status=200 reason=complete server=i-2 sends=1 events=3 ms=90",
			"  9.2 edge-1 time=2026-09-11T22:35:43.200Z level=INFO logger=x event=request_sent request=def.9 server=i-2",
			"  9.3 edge-1 time=2026-09-11T22:35:43.300Z level=WARNING logger=x event=attempt_failed request=def.9 "
					+ "server=i-2 cause=\"connection failed: \\\"reset\\\"\"",
			"  9.3 edge-1 time=2026-09-11T22:35:43.301Z level=INFO logger=x event=request_ended request=def.9 route=r "
					+ "service=s model=none status=502 reason=broken server=i-2 sends=1 events=0 ms=101",
			"  9.9 edge-2 time=2026-09-11T22:35:43.900Z level=INFO logger=x event=server_left server=i-2",
			"  9.9 edge-2 time=2026-09-11T22:35:43.901Z level=INFO logger=x event=server_left server=i-3",
			"a line of something else");

	private static RequestHistory history(String request) {
		return RequestHistory.of(LINES.stream().map(LogLine::parse).flatMap(Optional::stream).toList(), request);
	}

	// Guards against a refusal whose cause lies in the placement and is not shown.
	@Test
	void showsThePlacementOfAnAbsentModel() {
		RequestHistory history = history("abc");
		assertThat(history.own()).hasSize(1);
		assertThat(history.around()).extracting(LogLine::event).containsExactly("lease_granted", "command_decided");
		assertThat(history.summary()).contains("503", "no engine held its model", "No backend server has seen it.");
	}

	// Guards against an unknown outcome that is shown as one that did not happen.
	@Test
	void saysThatABrokenRequestMayHaveRun() {
		RequestHistory history = history("def");
		assertThat(history.own()).extracting(LogLine::event)
			.containsExactly("request_sent", "attempt_failed", "request_ended");
		assertThat(history.own().get(1).field("cause")).contains("connection failed: \"reset\"");
		assertThat(history.around()).extracting((line) -> line.field("server").orElse(""))
			.contains("i-2")
			.doesNotContain("i-3");
		assertThat(history.summary()).contains("502", "may have run it");
	}

	// Guards against logs of several hosts that are not put in order, and against a
	// command
	// that answers as if a request that no line names had been found.
	@Test
	void readsSeveralFiles(@TempDir Path directory) throws IOException {
		Path one = Files.write(directory.resolve("edge-1.log"), LINES.subList(2, 7));
		Path two = Files.write(directory.resolve("edge-2.log"),
				Stream.concat(LINES.subList(0, 2).stream(), LINES.subList(7, 9).stream()).toList());
		StringWriter out = new StringWriter();
		CommandLine command = CeleryhillMain.create().setOut(new PrintWriter(out, true));
		assertThat(command.execute("explain", "--request", "abc", "--log", one.toString(), two.toString())).isZero();
		assertThat(out.toString()).contains("Ended with status 503").contains("edge-2 lease_granted token=2");
		assertThat(command.execute("explain", "--request", "nobody", "--log", one.toString())).isEqualTo(1);
		assertThat(command.execute("explain", "--request", "abc", "--log", directory + "/none")).isEqualTo(2);
	}

}
