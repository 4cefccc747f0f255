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
 * Table service over HTTP. Thread-safe.
 */
public final class HttpTableService implements TableService {

	/** Error code of an answer for a row that does not exist. */
	static final String ABSENT = "absent";

	/** Sends the requests. */
	private final HttpExchange exchange;

	private HttpTableService(HttpExchange exchange) {
		this.exchange = exchange;
	}

	/**
	 * Returns an adapter.
	 * @param base the address of the service, not null
	 * @param client the shared client, not null
	 * @param settings the limits, not null
	 * @return the adapter, never null
	 */
	public static HttpTableService create(URI base, OkHttpClient client, ClientSettings settings) {
		return new HttpTableService(HttpExchange.of(base, client, settings));
	}

	@Override
	public ReadResult read(RowKey key) {
		Request.Builder request = new Request.Builder().url(this.exchange.url("v1/row")
			.addQueryParameter("table", key.table())
			.addQueryParameter("key", key.key())
			.build());
		HttpExchange.Outcome outcome = this.exchange.send(request);
		if (!(outcome instanceof HttpExchange.Answer answer)) {
			return new ReadFailed(reason(outcome));
		}
		if (answer.status() == 404 && answer.hasErrorCode(ABSENT)) {
			return new Absent(key);
		}
		if (answer.status() != 200) {
			return new ReadFailed(answer.describe());
		}
		return Json.read(answer.body(), Row.class)
			.filter((row) -> row.key().equals(key))
			.<ReadResult>map(Found::new)
			.orElseGet(() -> new ReadFailed("malformed row"));
	}

	@Override
	public ScanResult scan(String table, String keyPrefix) {
		Request.Builder request = new Request.Builder().url(this.exchange.url("v1/rows")
			.addQueryParameter("table", table)
			.addQueryParameter("prefix", keyPrefix)
			.build());
		HttpExchange.Outcome outcome = this.exchange.send(request);
		if (!(outcome instanceof HttpExchange.Answer answer)) {
			return new ReadFailed(reason(outcome));
		}
		if (answer.status() != 200) {
			return new ReadFailed(answer.describe());
		}
		return Json.read(answer.body(), WireMessages.RowList.class)
			.filter((list) -> list.rows() != null)
			.<ScanResult>map((list) -> new Rows(list.rows()))
			.orElseGet(() -> new ReadFailed("malformed rows"));
	}

	@Override
	public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
		List<WireMessages.RowChange> changes = writes.stream().map(WireMessages.RowChange::of).toList();
		byte[] body = Json.write(new WireMessages.Transaction(attempt, changes));
		HttpExchange.Outcome outcome = this.exchange
			.send(new Request.Builder().url(this.exchange.url("v1/transactions").build())
				.post(HttpExchange.oneShot(HttpExchange.JSON, body)));
		if (outcome instanceof HttpExchange.NotSent notSent) {
			return new NotWritten(notSent.reason());
		}
		if (!(outcome instanceof HttpExchange.Answer answer)) {
			return new WriteUnknown(reason(outcome));
		}
		return toWriteResult(answer);
	}

	private static WriteResult toWriteResult(HttpExchange.Answer answer) {
		if (answer.isNotRun()) {
			return new NotWritten(answer.describe());
		}
		if (answer.status() == 409) {
			return Json.read(answer.body(), WireMessages.ConflictResponse.class)
				.filter((document) -> document.conflict() != null)
				.<WriteResult>map((document) -> new Conflict(document.conflict()))
				.orElseGet(() -> new WriteUnknown("malformed conflict"));
		}
		if (answer.status() != 200) {
			return new WriteUnknown(answer.describe());
		}
		return Json.read(answer.body(), WireMessages.RowList.class)
			.filter((list) -> list.rows() != null)
			.<WriteResult>map((list) -> new Written(list.rows()))
			.orElseGet(() -> new WriteUnknown("malformed answer"));
	}

	private static String reason(HttpExchange.Outcome outcome) {
		if (outcome instanceof HttpExchange.NotSent notSent) {
			return notSent.reason();
		}
		return (outcome instanceof HttpExchange.Unknown unknown) ? unknown.reason() : "answered";
	}

}
