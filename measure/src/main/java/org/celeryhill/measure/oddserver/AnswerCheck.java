package org.celeryhill.measure.oddserver;

import java.nio.charset.StandardCharsets;
import java.util.Optional;

import io.netty.handler.codec.http.FullHttpResponse;

/**
 * Compares the answers that callers get with what the backend servers have run.
 * Thread-safe.
 *
 * @param ledger the runs of the servers, not null
 * @param format the headers of responses, not null
 */
record AnswerCheck(RunLedger ledger, WireFormat format) {

	/**
	 * Judges a complete response.
	 * @param requestId the id of the request
	 * @param response the response
	 * @return the kind of the answer
	 */
	Answer judge(String requestId, FullHttpResponse response) {
		return switch (response.status().code()) {
			case 502 -> Answer.BAD_GATEWAY;
			case 503 -> Answer.NOT_RUN;
			case 504 -> Answer.TIMEOUT;
			case 200, 500 -> isOfRun(requestId, response) ? Answer.OWN : Answer.FOREIGN;
			default -> Answer.UNKNOWN_STATUS;
		};
	}

	private boolean isOfRun(String requestId, FullHttpResponse response) {
		Optional<String> answeredId = this.format.codec().decodeResponse(response).attemptId();
		String body = response.content().toString(StandardCharsets.US_ASCII);
		return answeredId.equals(Optional.of(requestId)) && this.ledger.runsOf(requestId)
			.stream()
			.anyMatch((run) -> run.outcome().status == response.status().code() && run.body().equals(body));
	}

}
