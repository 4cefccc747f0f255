package org.celeryhill.soak;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.net.ProtocolException;
import java.nio.charset.StandardCharsets;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Tests for {@link HttpReader}.
 */
class HttpReaderTests {

	private static HttpReader reader(String bytes) {
		return new HttpReader(new ByteArrayInputStream(bytes.getBytes(StandardCharsets.US_ASCII)));
	}

	private static String readMessage(String bytes) throws IOException {
		HttpReader reader = reader(bytes);
		HttpHead head = reader.readHead();
		return head.status() + " " + new String(reader.readBody(head), StandardCharsets.US_ASCII);
	}

	// Guards against proper responses that count as violations.
	@Test
	void wholeMessagesAreRead() throws IOException {
		assertThat(readMessage("HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab")).isEqualTo("200 ab");
		assertThat(readMessage("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n1\r\nb\r\n0\r\n\r\n"))
			.isEqualTo("200 ab");
		assertThat(reader("").readHead()).isNull();
	}

	// Guards against responses that are cut off and count as whole.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\nab",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n" })
	void cutMessagesAreRejected(String bytes) {
		assertThatThrownBy(() -> readMessage(bytes)).isInstanceOf(IOException.class)
			.isNotInstanceOf(ProtocolException.class);
	}

	// Guards against bytes that are no response and pass for a connection that ended.
	@ParameterizedTest
	@ValueSource(strings = { "ab\r\n\r\n", "HTTP/1.1 999 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nab\r\n\r\n",
			"HTTP/1.1 200 OK\r\ncontent-length: -2\r\n\r\nab",
			"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1\r\nab\r\n0\r\n\r\n" })
	void malformedMessagesAreRejected(String bytes) {
		assertThatThrownBy(() -> readMessage(bytes)).isInstanceOf(ProtocolException.class);
	}

}
