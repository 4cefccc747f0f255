package org.celeryhill.edge;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of the responses to calls of other hosts.
 */
@Timeout(60)
class PeerServiceTests {

	private DaemonFixture fixture;

	@BeforeEach
	void start() throws Exception {
		this.fixture = new DaemonFixture();
		this.fixture.storeConfiguration(3, "/p/");
	}

	@AfterEach
	void stop() {
		this.fixture.close();
	}

	// Guards against a host that cannot tell the response to its call from that to an
	// earlier one.
	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`', textBlock = """
			/heartbeat | 200 | {"address":"10.0.0.1:1","usage":{"host":"h1","dataCentre":"here","incarnation":"a"}}
			/store     | 200 | {"method":"GET","target":"/-/rows-get?table=op&part=","timeoutMs":5000}
			/adapter   | 200 | {"engine":"i-1","model":"m","adapter":"a"}
			/heartbeat | 400 | not JSON
			/nowhere   | 404 | {}
			""")
	void returnsIdOfCall(String path, int status, String body) throws Exception {
		EdgeSettings settings = this.fixture.settings("h0");
		this.fixture.start(settings);
		DaemonFixture.awaitReady(settings);
		String response = DaemonFixture.exchange(settings.peer,
				"POST " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Call-Id: 17\r\nContent-Length: "
						+ body.length() + "\r\n\r\n" + body);
		assertThat(response).startsWith("HTTP/1.1 " + status).containsIgnoringCase("\r\nX-Call-Id: 17\r\n");
	}

}
