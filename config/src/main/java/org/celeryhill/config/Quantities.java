package org.celeryhill.config;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parses quantities with units as written in settings and configuration files. Stateless
 * and thread-safe.
 */
public final class Quantities {

	/** Decimal number, optional blanks and unit. */
	private static final Pattern QUANTITY = Pattern.compile("([0-9]+(?:\\.[0-9]+)?)\\s*([A-Za-z]*)");

	/** Number of bytes by unit. */
	private static final Map<String, Long> BYTE_UNITS = Map.of("B", 1L, "KiB", 1L << 10, "MiB", 1L << 20, "GiB",
			1L << 30, "TiB", 1L << 40, "kB", 1_000L, "MB", 1_000_000L, "GB", 1_000_000_000L);

	/** Number of nanoseconds by unit. */
	private static final Map<String, Long> TIME_UNITS = Map.of("ms", 1_000_000L, "s", 1_000_000_000L, "m",
			60_000_000_000L, "h", 3_600_000_000_000L);

	private Quantities() {
	}

	/**
	 * Parses a number of bytes such as {@code 16GiB} or {@code 200 MB}.
	 * @param text the text, not null
	 * @return the number of bytes
	 * @throws IllegalArgumentException if the text is not a number with a byte unit or is
	 * too large; the message names the expected form
	 */
	public static long parseBytes(String text) {
		return parse(text, BYTE_UNITS, "a size such as 16GiB or 200MB");
	}

	/**
	 * Parses a duration such as {@code 390ms}, {@code 5s} or {@code 2m}.
	 * @param text the text, not null
	 * @return the duration, never null
	 * @throws IllegalArgumentException if the text is not a number with a time unit or is
	 * too large; the message names the expected form
	 */
	public static Duration parseDuration(String text) {
		return Duration.ofNanos(parse(text, TIME_UNITS, "a duration such as 390ms, 5s or 2m"));
	}

	private static long parse(String text, Map<String, Long> units, String expected) {
		Matcher matcher = QUANTITY.matcher(Objects.requireNonNull(text, "text").trim());
		Long unit = matcher.matches() ? units.get(matcher.group(2)) : null;
		if (unit == null) {
			throw new IllegalArgumentException(String.format(Locale.ROOT, "'%s' is not %s", text, expected));
		}
		try {
			return new BigDecimal(matcher.group(1)).multiply(BigDecimal.valueOf(unit)).toBigInteger().longValueExact();
		}
		catch (ArithmeticException ex) {
			throw new IllegalArgumentException("'" + text + "' is too large", ex);
		}
	}

}
