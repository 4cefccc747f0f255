package org.celeryhill.soak;

import java.nio.charset.StandardCharsets;

/**
 * Head of a response that is not valid HTTP, made from a valid one.
 */
enum MalformedHead {

	/** The status is 000. */
	ZERO_STATUS {
		@Override
		String apply(String response) {
			return response.replaceFirst(" [0-9]{3} ", " 000 ");
		}
	},

	/** The name of a header holds a blank. */
	BLANK_IN_NAME {
		@Override
		String apply(String response) {
			return insert(response, "X Odd: v");
		}
	},

	/** The name of a header holds a control character. */
	CONTROL_IN_NAME {
		@Override
		String apply(String response) {
			return insert(response, "X\u0001Odd: v");
		}
	},

	/** A header looks like the length of the body up to a blank in its name. */
	LENGTH_BEFORE_BLANK {
		@Override
		String apply(String response) {
			return insert(response, "Content-Length x: 3");
		}
	};

	private static String insert(String response, String line) {
		return response.replaceFirst("\r\n", "\r\n" + line + "\r\n");
	}

	/**
	 * Draws a head.
	 * @param part a random number from 0 to 1, below 1
	 * @return the head, never null
	 */
	static MalformedHead draw(double part) {
		return values()[(int) (part * values().length)];
	}

	/**
	 * Changes the head of a response.
	 * @param response the bytes of the response or of its first part, with the whole
	 * head, not null
	 * @return the bytes with the head changed, never null
	 */
	byte[] apply(byte[] response) {
		String text = new String(response, StandardCharsets.ISO_8859_1);
		return apply(text).getBytes(StandardCharsets.ISO_8859_1);
	}

	abstract String apply(String response);

}
