package org.celeryhill.http;

import java.net.URI;
import java.util.List;

import okhttp3.OkHttpClient;
import okhttp3.Request;
import org.celeryhill.base.AttemptId;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Client of the table service over HTTP. Thread-safe.
 */
public final class HttpTableService implements TableService {

	/** Error code of a 404 response: the row does not exist. */
	static final String ABSENT = "absent";

	private final HttpRequestSender requestSender;

	private HttpTableService(HttpRequestSender requestSender) {
		this.requestSender = requestSender;
	}

	/**
	 * Returns a client of the table service.
	 * @param base the address of the service, not null
	 * @param client the shared HTTP client, not null
	 * @param settings the timeouts and size limits, not null
	 * @return the client, never null
	 */
	public static HttpTableService create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpTableService(HttpRequestSender.create(base, client, settings));
	}

	@Override
	public ReadResult read(RowKey key) {
		Request.Builder request = new Request.Builder().url(this.requestSender.urlBuilder("v1/row")
			.addQueryParameter("table", key.table())
			.addQueryParameter("key", key.key())
			.build());
		HttpRequestSender.Outcome outcome = this.requestSender.send(request);
		if (!(outcome instanceof HttpRequestSender.CompleteResponse response)) {
			return new ReadFailed(reason(outcome));
		}
		if (response.status() == 404 && response.hasErrorCode(ABSENT)) {
			return new Absent(key);
		}
		if (response.status() != 200) {
			return new ReadFailed(response.describe());
		}
		return Json.read(response.body(), Row.class)
			.filter((row) -> row.key().equals(key))
			.<ReadResult>map(Found::new)
			.orElseGet(() -> new ReadFailed("malformed row"));
	}

	@Override
	public ScanResult scan(String table, String keyPrefix) {
		Request.Builder request = new Request.Builder().url(this.requestSender.urlBuilder("v1/rows")
			.addQueryParameter("table", table)
			.addQueryParameter("prefix", keyPrefix)
			.build());
		HttpRequestSender.Outcome outcome = this.requestSender.send(request);
		if (!(outcome instanceof HttpRequestSender.CompleteResponse response)) {
			return new ReadFailed(reason(outcome));
		}
		if (response.status() != 200) {
			return new ReadFailed(response.describe());
		}
		return Json.read(response.body(), WireMessages.RowList.class)
			.filter((list) -> list.rows() != null)
			.<ScanResult>map((list) -> new Rows(list.rows()))
			.orElseGet(() -> new ReadFailed("malformed rows"));
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		List<WireMessages.RowChange> changes = writes.stream().map(WireMessages.RowChange::of).toList();
		byte[] body = Json.write(new WireMessages.Transaction(attempt, changes));
		HttpRequestSender.Outcome outcome = this.requestSender
			.send(new Request.Builder().url(this.requestSender.urlBuilder("v1/transactions").build())
				.post(HttpRequestSender.oneShotBody(HttpRequestSender.JSON, body)));
		if (outcome instanceof HttpRequestSender.NotSent notSent) {
			return new NotWritten(notSent.reason());
		}
		if (!(outcome instanceof HttpRequestSender.CompleteResponse response)) {
			return new WriteUnknown(reason(outcome));
		}
		return toWriteResult(response);
	}

	private static WriteResult toWriteResult(HttpRequestSender.CompleteResponse response) {
		if (response.isNotRun()) {
			return new NotWritten(response.describe());
		}
		if (response.status() == 409) {
			return Json.read(response.body(), WireMessages.ConflictResponse.class)
				.filter((document) -> document.conflict() != null)
				.<WriteResult>map((document) -> new Conflict(document.conflict()))
				.orElseGet(() -> new WriteUnknown("malformed conflict"));
		}
		if (response.status() != 200) {
			return new WriteUnknown(response.describe());
		}
		return Json.read(response.body(), WireMessages.RowList.class)
			.filter((list) -> list.rows() != null)
			.<WriteResult>map((list) -> new Written(list.rows()))
			.orElseGet(() -> new WriteUnknown("malformed response"));
	}

	private static String reason(HttpRequestSender.Outcome outcome) {
		if (outcome instanceof HttpRequestSender.NotSent notSent) {
			return notSent.reason();
		}
		return (outcome instanceof HttpRequestSender.Unknown unknown) ? unknown.reason() : "answered";
	}

}
