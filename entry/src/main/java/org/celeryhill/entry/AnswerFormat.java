package org.celeryhill.entry;

import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Writes the answers of one generation in the form of the OpenAI API. Immutable and
 * thread-safe.
 */
final class AnswerFormat {

	/** Last event of a whole stream. */
	static final byte[] DONE = "data: [DONE]\n\n".getBytes(StandardCharsets.US_ASCII);

	/** Characters of an event besides its id, its head and its text. */
	private static final int EVENT_OVERHEAD = 80;

	/** Request whose answer is written. */
	private final GenerationJob job;

	/** Start of every part up to the choice. */
	private final String head;

	AnswerFormat(GenerationJob job) {
		this.job = job;
		this.head = "\ndata: {\"id\":\"" + answerId() + "\",\"object\":\"" + job.shape().chunkObject()
				+ "\",\"created\":" + job.createdSeconds() + ",\"model\":\"" + quote(job.model().value())
				+ "\",\"choices\":[{\"index\":0,";
	}

	/**
	 * Returns the event of one token.
	 * @param eventId the signed event id, not null
	 * @param text the text of the token, not null
	 * @param isFirst whether it is the first token, which names the role in a chat
	 * @return the event, never null
	 */
	byte[] token(String eventId, String text, boolean isFirst) {
		StringBuilder event = start(eventId, text.length());
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
	 * Returns the event that says why the answer ended.
	 * @param eventId the signed event id, not null
	 * @param finishReason the reason, not null
	 * @return the event, never null
	 */
	byte[] finish(String eventId, String finishReason) {
		StringBuilder event = start(eventId, finishReason.length());
		event.append(isChat() ? "\"delta\":{}" : "\"text\":\"\"").append(",\"finish_reason\":\"");
		JsonStringEncoder.getInstance().quoteAsString(finishReason, event);
		return event.append("\"}]}\n\n").toString().getBytes(StandardCharsets.UTF_8);
	}

	private StringBuilder start(String eventId, int length) {
		int capacity = eventId.length() + this.head.length() + length + EVENT_OVERHEAD;
		return new StringBuilder(capacity).append("id: ").append(eventId).append(this.head);
	}

	private boolean isChat() {
		return this.job.shape() == ApiShape.CHAT;
	}

	/**
	 * Returns the event of an error after the stream has begun.
	 * @param error the error, not null
	 * @return the event, never null
	 */
	byte[] error(ApiError error) {
		String event = "event: error\ndata: " + error.toJson(this.job.answerId()) + "\n\n";
		return event.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the event that tells the caller to resume through another daemon.
	 * @param eventId the signed event id, not null
	 * @return the event, never null
	 */
	byte[] handOver(String eventId) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		ObjectNode body = document.putObject("handover");
		body.put("message", "This daemon is stopping; resume with this event id as Last-Event-ID.");
		body.put("resume", "/v1/streams/resume");
		body.put("request_id", this.job.answerId().value());
		String event = "id: " + eventId + "\nevent: handover\ndata: " + document + "\n\n";
		return event.getBytes(StandardCharsets.UTF_8);
	}

	/**
	 * Returns the document of a complete answer.
	 * @param text the text, not null
	 * @param tokens the tokens of the answer
	 * @param finishReason why it ended, not null
	 * @return the document, never null
	 */
	ObjectNode whole(String text, int tokens, String finishReason) {
		ObjectNode document = JsonNodeFactory.instance.objectNode();
		document.put("id", answerId());
		document.put("object", this.job.shape().wholeObject());
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
		usage.put("prompt_tokens", this.job.promptTokens());
		usage.put("completion_tokens", tokens);
		usage.put("total_tokens", this.job.promptTokens() + tokens);
		return document;
	}

	private String answerId() {
		return this.job.shape().idPrefix() + quote(this.job.answerId().value());
	}

	private static String quote(String text) {
		return new String(JsonStringEncoder.getInstance().quoteAsString(text));
	}

}
