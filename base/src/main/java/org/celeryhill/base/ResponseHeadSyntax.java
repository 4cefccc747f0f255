package org.celeryhill.base;

/**
 * Syntax of the heads of HTTP/1 responses as defined by RFC 9112, sections 4 and 5, and
 * RFC 9110, sections 5 and 15. HTTP libraries accept more than it allows. Texts hold one
 * character for each byte. Stateless and thread-safe.
 */
public final class ResponseHeadSyntax {

	private static final String VERSION_PREFIX = "HTTP/1.";

	/** Length of the version, the blank and the status code, in characters. */
	private static final int STATUS_END = "HTTP/1.1 200".length();

	private static final int MIN_STATUS = 100;

	private static final int MAX_STATUS = 599;

	/** Control character with the highest code. */
	private static final char DELETE = 0x7f;

	private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";

	private ResponseHeadSyntax() {
	}

	/**
	 * Returns whether a line is a status line. The blank in front of an empty reason
	 * phrase may be missing.
	 * @param line the line without its end, not null
	 * @return whether it has an HTTP/1 version, a status code from 100 to 599 and a
	 * reason phrase
	 */
	public static boolean isStatusLine(String line) {
		if (line.length() < STATUS_END || !line.startsWith(VERSION_PREFIX)) {
			return false;
		}
		int versionEnd = VERSION_PREFIX.length() + 1;
		return isDigit(line.charAt(versionEnd - 1)) && line.charAt(versionEnd) == ' '
				&& isStatusCode(line.substring(versionEnd + 1, STATUS_END)) && isReason(line.substring(STATUS_END));
	}

	private static boolean isStatusCode(String code) {
		for (int i = 0; i < code.length(); i++) {
			if (!isDigit(code.charAt(i))) {
				return false;
			}
		}
		return isStatus(Integer.parseInt(code));
	}

	private static boolean isReason(String rest) {
		return rest.isEmpty() || (rest.charAt(0) == ' ' && isText(rest));
	}

	/**
	 * Returns whether a number is the status of a response.
	 * @param status the number
	 * @return whether it is in the range from 100 to 599
	 */
	public static boolean isStatus(int status) {
		return status >= MIN_STATUS && status <= MAX_STATUS;
	}

	/**
	 * Returns whether a line is a header. A line that begins with a blank and continues
	 * the line before it, which is obsolete, is none.
	 * @param line the line without its end, not null
	 * @return whether it has a name, a colon right behind it and a value
	 */
	public static boolean isHeaderLine(String line) {
		int colon = line.indexOf(':');
		return colon > 0 && isHeaderName(line.substring(0, colon)) && isText(line.substring(colon + 1));
	}

	/**
	 * Returns whether a text can be the name of a header.
	 * @param name the text, not null
	 * @return whether it is a token: not empty, without blanks, control characters and
	 * delimiters
	 */
	public static boolean isHeaderName(String name) {
		for (int i = 0; i < name.length(); i++) {
			if (!isTokenCharacter(name.charAt(i))) {
				return false;
			}
		}
		return !name.isEmpty();
	}

	private static boolean isTokenCharacter(char character) {
		return isDigit(character) || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z')
				|| TOKEN_SYMBOLS.indexOf(character) >= 0;
	}

	/**
	 * Returns whether a text can be a reason phrase or the value of a header.
	 * @param text the text, not null
	 * @return whether it has no control character other than a tab
	 */
	public static boolean isText(String text) {
		for (int i = 0; i < text.length(); i++) {
			char character = text.charAt(i);
			boolean isControl = character < ' ' || character == DELETE;
			if (isControl && character != '\t') {
				return false;
			}
		}
		return true;
	}

	private static boolean isDigit(char character) {
		return character >= '0' && character <= '9';
	}

}
