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
 * Tests of the selection and summary of the log lines about a request.
 */
class RequestHistoryTests {

	private static final List<String> LOG_LINES = List.of(
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
			" 30.0 edge-2 time=2026-09-11T22:36:04.000Z level=WARNING logger=x event=prompt_part_quarantined part=66 "
					+ "crashes=3",
			" 31.0 edge-1 time=2026-09-11T22:36:05.000Z level=INFO logger=x event=request_ended request=fed.10 route=r "
					+ "service=s model=none status=503 reason=prompt_quarantined server=none sends=0 events=0 ms=1",
			"a line of something else");

	private static RequestHistory selectHistory(String request) {
		return RequestHistory.select(LOG_LINES.stream().map(LogLine::parse).flatMap(Optional::stream).toList(),
				request);
	}

	// Guards against a history that omits placement events, which are the cause when a
	// request is refused because no engine holds its model.
	@Test
	void contextContainsPlacementOfAbsentModel() {
		RequestHistory history = selectHistory("abc");
		assertThat(history.requestLines()).hasSize(1);
		assertThat(history.contextLines()).extracting(LogLine::event)
			.containsExactly("lease_granted", "command_decided");
		assertThat(history.summarize()).contains("503", "no engine held its model", "No backend server has seen it.");
	}

	// Guards against a summary that says that a request did not run although its
	// connection broke after it was sent, so that its outcome is unknown.
	@Test
	void summaryOfBrokenRequestSaysThatItMayHaveRun() {
		RequestHistory history = selectHistory("def");
		assertThat(history.requestLines()).extracting(LogLine::event)
			.containsExactly("request_sent", "attempt_failed", "request_ended");
		assertThat(history.requestLines().get(1).field("cause")).contains("connection failed: \"reset\"");
		assertThat(history.contextLines()).extracting((line) -> line.field("server").orElse(""))
			.contains("i-2")
			.doesNotContain("i-3");
		assertThat(history.summarize()).contains("502", "may have run it");
	}

	// Guards against a refused request whose cause, a prompt part in quarantine, is not
	// shown.
	@Test
	void contextContainsQuarantineOfPromptPart() {
		RequestHistory history = selectHistory("fed");
		assertThat(history.contextLines()).extracting(LogLine::event).containsExactly("prompt_part_quarantined");
		assertThat(history.summarize()).contains("503", "ends the backend servers", "No backend server has seen it.");
	}

	// Guards against an explanation that does not merge the logs of several hosts, and
	// against success for a request that no log line names.
	@Test
	void explainMergesLogsOfSeveralHosts(@TempDir Path directory) throws IOException {
		Path firstLog = Files.write(directory.resolve("edge-1.log"), LOG_LINES.subList(2, 7));
		Path secondLog = Files.write(directory.resolve("edge-2.log"),
				Stream.concat(LOG_LINES.subList(0, 2).stream(), LOG_LINES.subList(7, 9).stream()).toList());
		StringWriter out = new StringWriter();
		CommandLine command = CeleryhillMain.create().setOut(new PrintWriter(out, true));
		assertThat(command.execute("explain", "--request", "abc", "--log", firstLog.toString(), secondLog.toString()))
			.isZero();
		assertThat(out.toString()).contains("Ended with status 503").contains("edge-2 lease_granted token=2");
		assertThat(command.execute("explain", "--request", "nobody", "--log", firstLog.toString())).isEqualTo(1);
		assertThat(command.execute("explain", "--request", "abc", "--log", directory + "/none")).isEqualTo(2);
	}

}
