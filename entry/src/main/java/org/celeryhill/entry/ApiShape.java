package org.celeryhill.entry;

/**
 * API format of a generation request and its response. Immutable and thread-safe.
 */
enum ApiShape {

	/** Chat format of {@code /v1/chat/completions}. */
	CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),

	/** Text format of {@code /v1/completions}. */
	COMPLETION("cmpl-", "text_completion", "text_completion");

	/** Prefix of the id of a response. */
	private final String idPrefix;

	/** Value of the {@code object} field of a complete response. */
	private final String responseObject;

	/** Value of the {@code object} field of an event of a stream. */
	private final String eventObject;

	ApiShape(String idPrefix, String wholeObject, String chunkObject) {
		this.idPrefix = idPrefix;
		this.responseObject = wholeObject;
		this.eventObject = chunkObject;
	}

	String idPrefix() {
		return this.idPrefix;
	}

	String responseObject() {
		return this.responseObject;
	}

	String eventObject() {
		return this.eventObject;
	}

}
