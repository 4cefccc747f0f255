package org.celeryhill.entry;

/**
 * Form of the answer of a generation. Immutable and thread-safe.
 */
enum ApiShape {

	/** {@code /v1/chat/completions}. */
	CHAT("chatcmpl-", "chat.completion", "chat.completion.chunk"),

	/** {@code /v1/completions}. */
	COMPLETION("cmpl-", "text_completion", "text_completion");

	/** Prefix of the id of an answer. */
	private final String idPrefix;

	/** Object name of a complete answer. */
	private final String wholeObject;

	/** Object name of a part of a streamed answer. */
	private final String chunkObject;

	ApiShape(String idPrefix, String wholeObject, String chunkObject) {
		this.idPrefix = idPrefix;
		this.wholeObject = wholeObject;
		this.chunkObject = chunkObject;
	}

	String idPrefix() {
		return this.idPrefix;
	}

	String wholeObject() {
		return this.wholeObject;
	}

	String chunkObject() {
		return this.chunkObject;
	}

}
