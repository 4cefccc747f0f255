package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.LongStream;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.ServiceId;
import org.celeryhill.base.UsageTotals;
import org.celeryhill.forward.RevisionMapping;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.ServerEntryCodec;
import org.celeryhill.platform.StoreClient;

/**
 * Encodes and decodes the JSON bodies of the messages between edge daemons.
 */
final class PeerMessages {

	private PeerMessages() {
	}

	static ObjectNode encodeUsage(UsageTotals usage) {
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		node.put("host", usage.host().value());
		node.put("dataCentre", usage.dataCentre().value());
		node.put("incarnation", usage.incarnation());
		node.put("sequence", usage.sequence());
		ObjectNode tokens = node.putObject("tokens");
		Map<OrganisationId, long[]> byOrganisation = new TreeMap<>();
		usage.tokens().forEach((key, count) -> {
			if (key.organisation().equals(RevisionMapping.ORGANISATION)) {
				tokens.put(key.priority().name(), count);
			}
			else {
				byOrganisation.computeIfAbsent(key.organisation(),
						(id) -> new long[PriorityClass.values().length])[key.priority().ordinal()] = count;
			}
		});
		if (!byOrganisation.isEmpty()) {
			ObjectNode organisations = node.putObject("organisations");
			byOrganisation.forEach((id, counts) -> {
				ArrayNode list = organisations.putArray(id.value());
				LongStream.of(counts).forEach(list::add);
			});
		}
		return node;
	}

	static UsageTotals decodeUsage(JsonNode node) {
		Map<UsageTotals.Key, Long> tokens = new HashMap<>();
		node.path("tokens")
			.fields()
			.forEachRemaining((field) -> tokens.put(
					new UsageTotals.Key(RevisionMapping.ORGANISATION, PriorityClass.valueOf(field.getKey())),
					field.getValue().asLong()));
		node.path("organisations")
			.fields()
			.forEachRemaining((field) -> addUsage(OrganisationId.of(field.getKey()), field.getValue(), tokens));
		return new UsageTotals(HostId.of(node.path("host").asText()), DataCentre.of(node.path("dataCentre").asText()),
				node.path("incarnation").asText(), node.path("sequence").asLong(), tokens);
	}

	// Decodes the tokens of an organisation, one number for each priority class. A class
	// without usage has the number zero, which changes no sum.
	private static void addUsage(OrganisationId organisation, JsonNode counts, Map<UsageTotals.Key, Long> tokens) {
		for (PriorityClass priority : PriorityClass.values()) {
			tokens.put(new UsageTotals.Key(organisation, priority), counts.path(priority.ordinal()).asLong());
		}
	}

	static ArrayNode encodeDemand(Map<DemandMeter.Key, DemandMeter.Rate> rates) {
		ArrayNode list = JsonHttpClient.MAPPER.createArrayNode();
		rates.forEach((key, rate) -> list.addObject()
			.put("service", key.service().value())
			.put("model", key.model().value())
			.put("value", round(rate.valuePerSecond()))
			.put("late", round(rate.latePerSecond())));
		return list;
	}

	private static double round(double rate) {
		return Math.round(rate * 1000) / 1000.0;
	}

	static Map<DemandMeter.Key, DemandMeter.Rate> decodeDemand(JsonNode list) {
		Map<DemandMeter.Key, DemandMeter.Rate> rates = new HashMap<>();
		for (JsonNode node : list) {
			rates.put(
					new DemandMeter.Key(ServiceId.of(node.path("service").asText()),
							ModelId.of(node.path("model").asText())),
					new DemandMeter.Rate(node.path("value").asDouble(), node.path("late").asDouble()));
		}
		return rates;
	}

	static ArrayNode encodeEngineModels(List<EngineModel> models) {
		ArrayNode list = JsonHttpClient.MAPPER.createArrayNode();
		models.forEach((one) -> list.addObject().put("engine", one.engine().value()).put("model", one.model().value()));
		return list;
	}

	static List<EngineModel> decodeEngineModels(JsonNode list) {
		List<EngineModel> models = new ArrayList<>();
		for (JsonNode node : list) {
			models.add(new EngineModel(BackendServerId.of(node.path("engine").asText()),
					ModelId.of(node.path("model").asText())));
		}
		return models;
	}

	static ObjectNode encodeLoadTimes(Map<ModelId, Duration> loadTimes) {
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		loadTimes.forEach((model, time) -> node.put(model.value(), time.toMillis()));
		return node;
	}

	static Map<ModelId, Duration> decodeLoadTimes(JsonNode node) {
		Map<ModelId, Duration> loadTimes = new HashMap<>();
		node.fields()
			.forEachRemaining(
					(field) -> loadTimes.put(ModelId.of(field.getKey()), Duration.ofMillis(field.getValue().asLong())));
		return loadTimes;
	}

	static ObjectNode encodeAdapterRequest(BackendServerId engine, ModelId model, String adapter) {
		return JsonHttpClient.MAPPER.createObjectNode()
			.put("engine", engine.value())
			.put("model", model.value())
			.put("adapter", adapter);
	}

	static ArrayNode encodeAddresses(List<String> addresses) {
		ArrayNode list = JsonHttpClient.MAPPER.createArrayNode();
		addresses.forEach(list::add);
		return list;
	}

	static List<InetSocketAddress> decodeAddresses(JsonNode list) {
		List<InetSocketAddress> addresses = new ArrayList<>();
		list.forEach((node) -> addresses.add(ServerEntryCodec.address(node.asText())));
		return addresses;
	}

	static StoreClient.Rows decodeRows(JsonNode node) {
		List<StoreClient.StoredRow> rows = findText(node, "rows").map(RowArchive::decode).orElse(List.of());
		return new StoreClient.Rows(rows, node.path("version").asLong());
	}

	static Optional<String> findText(JsonNode node, String field) {
		return Optional.of(node.path(field).asText()).filter((value) -> !value.isEmpty());
	}

	/**
	 * A model or adapter that is loaded on an engine.
	 *
	 * @param engine the engine, not null
	 * @param model the model or adapter, not null
	 */
	record EngineModel(BackendServerId engine, ModelId model) {
	}

}
