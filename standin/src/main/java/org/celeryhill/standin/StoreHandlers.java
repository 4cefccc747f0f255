package org.celeryhill.standin;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.undertow.server.HttpServerExchange;
import org.celeryhill.base.Execution;
import org.celeryhill.base.ModelId;
import org.celeryhill.http.HttpResponses;
import org.celeryhill.http.HttpServer;
import org.celeryhill.http.WireMessages;
import org.celeryhill.port.HostList;
import org.celeryhill.port.ObjectService;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;
import org.celeryhill.port.WeightStore;

/**
 * HTTP handlers of the stand-ins for the table service, object service, host list and
 * weight store. Stateless and thread-safe.
 */
final class StoreHandlers {

	private StoreHandlers() {
	}

	static void addTableRoutes(HttpServer.Builder builder, TableService table) {
		builder.addExactPath("/v1/row", HttpServer.blocking((exchange) -> readRow(exchange, table)));
		builder.addExactPath("/v1/rows", HttpServer.blocking((exchange) -> scanRows(exchange, table)));
		builder.addExactPath("/v1/transactions", HttpServer.blocking((exchange) -> writeRows(exchange, table)));
	}

	private static void readRow(HttpServerExchange exchange, TableService table) {
		RowKey key = RowKey.of(HttpExchanges.queryParameter(exchange, "table"),
				HttpExchanges.queryParameter(exchange, "key"));
		TableService.ReadResult result = table.read(key);
		if (result instanceof TableService.Found found) {
			HttpResponses.sendJson(exchange, 200, found.row());
		}
		else if (result instanceof TableService.Absent) {
			HttpResponses.sendError(exchange, 404, "absent", "no such row", Execution.RAN);
		}
		else {
			HttpExchanges.dropConnection(exchange);
		}
	}

	private static void scanRows(HttpServerExchange exchange, TableService table) {
		TableService.ScanResult result = table.scan(HttpExchanges.queryParameter(exchange, "table"),
				HttpExchanges.queryParameter(exchange, "prefix"));
		if (result instanceof TableService.Rows rows) {
			HttpResponses.sendJson(exchange, 200, new WireMessages.RowList(rows.rows()));
		}
		else {
			HttpExchanges.dropConnection(exchange);
		}
	}

	private static void writeRows(HttpServerExchange exchange, TableService table) throws IOException {
		Optional<WireMessages.Transaction> body = HttpExchanges.readJson(exchange, WireMessages.Transaction.class);
		if (body.isEmpty()) {
			return;
		}
		List<RowWrite> writes = body.get().writes().stream().map(WireMessages.RowChange::toWrite).toList();
		TableService.WriteResult result = table.write(body.get().attempt(), writes);
		if (result instanceof TableService.Written written) {
			HttpResponses.sendJson(exchange, 200, new WireMessages.RowList(written.rows()));
		}
		else if (result instanceof TableService.Conflict conflict) {
			HttpResponses.sendJson(exchange, 409, new WireMessages.ConflictResponse(conflict.key()));
		}
		else if (result instanceof TableService.NotWritten notWritten) {
			HttpExchanges.sendNotRun(exchange, notWritten.reason());
		}
		else {
			HttpExchanges.dropConnection(exchange);
		}
	}

	static void addObjectRoutes(HttpServer.Builder builder, ObjectService objects) {
		builder.addExactPath("/v1/object", HttpServer.blocking((exchange) -> {
			if (HttpExchanges.hasMethod(exchange, "PUT")) {
				putObject(exchange, objects);
			}
			else {
				getObject(exchange, objects);
			}
		}));
	}

	private static void putObject(HttpServerExchange exchange, ObjectService objects) throws IOException {
		ObjectService.PutResult result = objects.put(HttpExchanges.queryParameter(exchange, "name"),
				HttpExchanges.body(exchange));
		switch (result) {
			case STORED -> HttpResponses.sendJson(exchange, 201, Map.of("stored", true));
			case DIFFERENT ->
				HttpResponses.sendError(exchange, 409, "different", "the name has another content", Execution.RAN);
			default -> HttpExchanges.dropConnection(exchange);
		}
	}

	private static void getObject(HttpServerExchange exchange, ObjectService objects) {
		ObjectService.GetResult result = objects.get(HttpExchanges.queryParameter(exchange, "name"));
		if (result instanceof ObjectService.Content content) {
			exchange.getResponseSender().send(ByteBuffer.wrap(content.bytes()));
		}
		else if (result instanceof ObjectService.Missing) {
			HttpResponses.sendError(exchange, 404, "missing", "no such object", Execution.RAN);
		}
		else {
			HttpExchanges.dropConnection(exchange);
		}
	}

	static void addHostListRoute(HttpServer.Builder builder, HostList hosts) {
		builder.addExactPath("/v1/hosts", HttpServer.blocking((exchange) -> {
			Optional<List<HostList.Entry>> entries = hosts.read();
			if (entries.isPresent()) {
				HttpResponses.sendJson(exchange, 200, new WireMessages.HostEntries(entries.get()));
			}
			else {
				HttpExchanges.dropConnection(exchange);
			}
		}));
	}

	static void addWeightStoreRoute(HttpServer.Builder builder, WeightStore weights) {
		builder.addExactPath("/v1/weights", HttpServer.blocking((exchange) -> {
			Optional<Map<ModelId, Long>> sizes = weights.sizes();
			if (sizes.isPresent()) {
				HttpResponses.sendJson(exchange, 200, new WireMessages.WeightSizes(sizes.get()));
			}
			else {
				HttpExchanges.dropConnection(exchange);
			}
		}));
	}

}
