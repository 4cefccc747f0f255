package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Encodes the events and documents of one generation in the format of the OpenAI API.
 * Immutable and thread-safe.
 */
final class ResponseEncoder {

	/** Last event of a complete stream. */
	static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

	/** Estimated number of characters of an event besides its id, head and text. */
	private static final int EVENT_OVERHEAD = 80;

	/** Job whose response is encoded. */
	private final GenerationJob job;

	/** Common part of all events, from the end of the event id up to the choice. */
	private final String eventPrefix;

	ResponseEncoder(GenerationJob job) {
		this.job = job;
		this.eventPrefix = "\ndata: {\"id\":\"" + responseId() + "\",\"object\":\"" + job.shape().eventObject()
				+ "\",\"created\":" + job.createdSeconds() + ",\"model\":\"" + quote(job.model().value())
				+ "\",\"choices\":[{\"index\":0,";
	}

	/**
	 * Returns the event with one token.
	 * @param eventId the signed event id, not null
	 * @param text the text of the token, not null
	 * @param isFirst whether it is the first token, whose event contains the role in a
	 * chat
	 * @return the event, never null
	 */
	byte[] token(String eventId, String text, boolean isFirst) {
		StringBuilder event = startEvent(eventId, text.length());
		event.append(isChat() ? "\"delta\":{\"content\":\"" : "\"text\":\"");
		JsonStringEncoder.getInstance().quoteAsString(text, event);
		if (isChat()) {
			event.append(isFirst ? "\",\"role\":\"assistant\"}" : "\"}");
		}
		else {
			event.append('"');
		}
		event.append(",\"finish_reason\":null}]}\n\n");
		return event.toString().getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the event with the finish reason.
	 * @param eventId the signed event id, not null
	 * @param finishReason why generation ended, not null
	 * @return the event, never null
	 */
	byte[] finishEvent(String eventId, String finishReason) {
		StringBuilder event = startEvent(eventId, finishReason.length());
		event.append(isChat() ? "\"delta\":{}" : "\"text\":\"\"").append(",\"finish_reason\":\"");
		JsonStringEncoder.getInstance().quoteAsString(finishReason, event);
		return event.append("\"}]}\n\n").toString().getBytes(StandardCharsets.UTF_8);
	}

	private StringBuilder startEvent(String eventId, int length) {
		int capacity = eventId.length() + this.eventPrefix.length() + length + EVENT_OVERHEAD;
		return new StringBuilder(capacity).append("id: ").append(eventId).append(this.eventPrefix);
	}

	private boolean isChat() {
		return this.job.shape() == ApiShape.CHAT;
	}

	/**
	 * Returns the event that reports an error after the stream has started.
	 * @param error the error to report, not null
	 * @return the event, never null
	 */
	byte[] errorEvent(ApiError error) {
		String event = "event: error\ndata: " + error.toJson(this.job.responseId()) + "\n\n";
		return event.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the event that asks the caller to resume the stream through another daemon.
	 * @param eventId the signed event id, not null
	 * @return the event, never null
	 */
	byte[] handoverEvent(String eventId) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ObjectNode body = document.putObject("handover");
		body.put("message", "This daemon is stopping; resume with this event id as Last-Event-ID.");
		body.put("resume", "/v1/streams/resume");
		body.put("request_id", this.job.responseId().value());
		String event = "id: " + eventId + "\nevent: handover\ndata: " + document + "\n\n";
		return event.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the document of a complete response without streaming.
	 * @param text the generated text, not null
	 * @param tokens the number of generated tokens
	 * @param finishReason why generation ended, not null
	 * @return the document, never null
	 */
	ObjectNode toDocument(String text, int tokens, String finishReason) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("id", responseId());
		document.put("object", this.job.shape().responseObject());
		document.put("created", this.job.createdSeconds());
		document.put("model", this.job.model().value());
		ObjectNode choice = document.putArray("choices").addObject();
		choice.put("index", 0);
		if (isChat()) {
			choice.putObject("message").put("role", "assistant").put("content", text);
		}
		else {
			choice.put("text", text);
		}
		choice.put("finish_reason", finishReason);
		ObjectNode usage = document.putObject("usage");
		usage.put("prompt_tokens", this.job.estimatedPromptTokens());
		usage.put("completion_tokens", tokens);
		usage.put("total_tokens", this.job.estimatedPromptTokens() + tokens);
		return document;
	}

	private String responseId() {
		return this.job.shape().idPrefix() + quote(this.job.responseId().value());
	}

	private static String quote(String text) {
		return new String(JsonStringEncoder.getInstance().quoteAsString(text));
	}

}
