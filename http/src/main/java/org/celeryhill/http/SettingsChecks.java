package org.celeryhill.http;

import java.io.PrintWriter;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.regex.Pattern;

import org.celeryhill.base.Finding;

/**
 * Validates the settings of a process and collects all findings, so that they are
 * reported together. Not thread-safe.
 */
public final class SettingsChecks {

	/** Exit status of a process with invalid settings. */
	public static final int EXIT_STATUS = 2;

	/**
	 * IPv4 address in dotted form, or any text of the characters of an IPv6 address with
	 * at least one colon.
	 */
	private static final Pattern IP_ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F]*:[0-9a-fA-F:.]*");

	private final List<Finding> findings = new ArrayList<>();

	private SettingsChecks() {
	}

	/**
	 * Returns checks without findings.
	 * @return the checks, never null
	 */
	public static SettingsChecks create() {
		return new SettingsChecks();
	}

	/**
	 * Adds an error if a condition does not hold.
	 * @param isValid the condition
	 * @param flag the flag that the error names, not null
	 * @param message a description of the error and how to resolve it, not null
	 * @return this object
	 */
	public SettingsChecks require(boolean isValid, String flag, String message) {
		if (!isValid) {
			this.findings.add(Finding.error(flag, 0, "", message));
		}
		return this;
	}

	/**
	 * Adds an error if a text is missing or blank.
	 * @param flag the flag that sets the value, not null
	 * @param value the value, may be null
	 * @return this object
	 */
	public SettingsChecks requireText(String flag, String value) {
		return require(value != null && !value.isBlank(), flag,
				"a value is required; set the flag or " + EnvironmentDefaults.toVariableName(flag));
	}

	/**
	 * Adds an error if a number is outside a range.
	 * @param flag the flag that sets the value, not null
	 * @param value the value
	 * @param min the smallest valid value
	 * @param max the largest valid value
	 * @return this object
	 */
	public SettingsChecks requireRange(String flag, double value, double min, double max) {
		return require(value >= min && value <= max, flag, value + " is not between " + min + " and " + max);
	}

	/**
	 * Adds an error if a number is not a port; 0 stands for any free port and is valid.
	 * @param flag the flag that sets the value, not null
	 * @param port the port
	 * @return this object
	 */
	public SettingsChecks requirePort(String flag, int port) {
		return require(port >= 0 && port <= 65535, flag, port + " is not a port between 0 and 65535");
	}

	/**
	 * Adds an error if a duration is missing or not positive.
	 * @param flag the flag that sets the value, not null
	 * @param value the value, may be null
	 * @return this object
	 */
	public SettingsChecks requirePositive(String flag, Duration value) {
		return require(value != null && !value.isZero() && !value.isNegative(), flag,
				value + " is not a positive duration");
	}

	/**
	 * Adds an error if a text is not an IP address. Host names are not accepted, because
	 * they are not resolved.
	 * @param flag the flag that sets the value, not null
	 * @param address the IP address, may be null
	 * @return this object
	 */
	public SettingsChecks requireAddress(String flag, String address) {
		return require(address != null && IP_ADDRESS.matcher(address).matches(), flag,
				address + " is not an IP address");
	}

	/**
	 * Adds an error if a URI is not an {@code http} URI with host and port.
	 * @param flag the flag that sets the value, not null
	 * @param uri the URI, may be null
	 * @return this object
	 */
	public SettingsChecks requireHttpUri(String flag, URI uri) {
		boolean isValid = uri != null && "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
		return require(isValid, flag, uri + " is not of the form http://ADDRESS:PORT");
	}

	/**
	 * Adds a finding.
	 * @param finding the finding, not null
	 * @return this object
	 */
	public SettingsChecks add(Finding finding) {
		this.findings.add(Objects.requireNonNull(finding, "finding"));
		return this;
	}

	/**
	 * Returns the findings so far.
	 * @return a copy of the findings, never null
	 */
	public List<Finding> findings() {
		return List.copyOf(this.findings);
	}

	/**
	 * Returns whether the settings are valid.
	 * @return true if no finding is an error
	 */
	public boolean isValid() {
		return this.findings.stream().noneMatch(Finding::isError);
	}

	/**
	 * Prints all findings, one per line.
	 * @param out the writer to print to, not null
	 * @return this object
	 */
	public SettingsChecks print(PrintWriter out) {
		this.findings.forEach(out::println);
		out.flush();
		return this;
	}

}
