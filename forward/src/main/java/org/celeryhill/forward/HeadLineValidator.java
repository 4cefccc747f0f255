package org.celeryhill.forward;

import java.util.Optional;

import org.celeryhill.base.ResponseHeadSyntax;

/**
 * Finds lines in the heads of responses that are not valid HTTP. The decoder accepts some
 * of them and reads them as something else. Not thread-safe.
 */
final class HeadLineValidator {

	private boolean isStatusLineNext = true;

	/**
	 * Checks the lines that follow those of the previous call.
	 * @param lines whole lines with their ends, not null
	 * @return the first line that is not valid, without its end; empty if all are valid
	 */
	Optional<String> findInvalidLine(String lines) {
		int start = 0;
		while (start < lines.length()) {
			int next = lines.indexOf('\n', start);
			int end = (next < 0) ? lines.length() : next;
			String line = removeCarriageReturn(lines.substring(start, end));
			if (!isValid(line)) {
				return Optional.of(line);
			}
			start = end + 1;
		}
		return Optional.empty();
	}

	private static String removeCarriageReturn(String line) {
		return line.endsWith("\r") ? line.substring(0, line.length() - 1) : line;
	}

	private boolean isValid(String line) {
		if (this.isStatusLineNext) {
			this.isStatusLineNext = false;
			return ResponseHeadSyntax.isStatusLine(line);
		}
		// An empty line ends the head.
		this.isStatusLineNext = line.isEmpty();
		return line.isEmpty() || ResponseHeadSyntax.isHeaderLine(line);
	}

}
