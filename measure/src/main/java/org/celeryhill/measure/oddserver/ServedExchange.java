package org.celeryhill.measure.oddserver;

import java.util.List;
import java.util.Optional;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import org.celeryhill.forward.ExchangeHeaders;

/**
 * A request at a backend server, with what the server has decided to do with it.
 *
 * @param connection the connection of the request
 * @param requestId the id of the request
 * @param decision the decision
 * @param run the run of the request, empty if it is refused
 * @param names sets the headers of the response
 */
record ServedExchange(BackendServerConnection connection, String requestId, Decision decision,
		Optional<RunLedger.Run> run, ExchangeHeaders names) {

	void write(String text) {
		this.connection.write(text);
	}

	/**
	 * Returns the response as a sound server sends it.
	 * @return the head and the body
	 */
	String response() {
		return frame("");
	}

	/**
	 * Returns a response that announces the end of the connection.
	 * @return the head and the body
	 */
	String responseWithClose() {
		return frame("connection: close\r\n");
	}

	/**
	 * Returns a response that ends with the connection.
	 * @return the head and the body
	 */
	String responseWithoutLength() {
		return head() + "\r\n" + String.join("", bodyParts());
	}

	private String frame(String header) {
		List<String> parts = bodyParts();
		if (!this.run.map(RunLedger.Run::isStreamed).orElse(false)) {
			String body = String.join("", parts);
			return head() + header + "content-length: " + body.length() + "\r\n\r\n" + body;
		}
		StringBuilder text = new StringBuilder(head()).append(header).append("transfer-encoding: chunked\r\n\r\n");
		for (String part : parts) {
			text.append(Integer.toHexString(part.length())).append("\r\n").append(part).append("\r\n");
		}
		return text.append("0\r\n\r\n").toString();
	}

	private List<String> bodyParts() {
		return this.run.map(RunLedger.Run::bodyParts).orElse(List.of(""));
	}

	private String head() {
		HttpHeaders headers = new DefaultHttpHeaders();
		if (this.run.isPresent()) {
			this.names.encodeExecuted(headers, this.requestId);
		}
		else {
			this.names.encodeNotExecuted(headers, this.requestId);
		}
		StringBuilder text = new StringBuilder("HTTP/1.1 ").append(this.decision.outcome().status)
			.append(" Status\r\n");
		headers.forEach((header) -> text.append(header.getKey()).append(": ").append(header.getValue()).append("\r\n"));
		return text.toString();
	}

}
