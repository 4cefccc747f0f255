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
 * Collects the findings of all settings of a process, so that they are reported together.
 * Not thread-safe.
 */
public final class SettingsChecks {

	/** Exit status of a process whose settings cannot be used. */
	public static final int EXIT_STATUS = 2;

	/** IPv4 number, or an IPv6 number by its characters. */
	private static final Pattern ADDRESS = Pattern.compile("\\d{1,3}(\\.\\d{1,3}){3}|[0-9a-fA-F]*:[0-9a-fA-F:.]*");

	/** Findings so far. */
	private final List<Finding> findings = new ArrayList<>();

	private SettingsChecks() {
	}

	/**
	 * Returns an empty collector.
	 * @return the collector, never null
	 */
	public static SettingsChecks create() {
		return new SettingsChecks();
	}

	/**
	 * Adds an error unless a condition holds.
	 * @param isValid the condition
	 * @param flag the flag that is checked, not null
	 * @param message what is wrong and what to do, not null
	 * @return this collector
	 */
	public SettingsChecks require(boolean isValid, String flag, String message) {
		if (!isValid) {
			this.findings.add(Finding.error(flag, 0, "", message));
		}
		return this;
	}

	/**
	 * Adds an error if a text is missing.
	 * @param flag the flag, not null
	 * @param value the value, may be null
	 * @return this collector
	 */
	public SettingsChecks requireText(String flag, String value) {
		return require(value != null && !value.isBlank(), flag,
				"a value is required; set the flag or " + EnvironmentDefaults.toVariableName(flag));
	}

	/**
	 * Adds an error unless a number is within bounds.
	 * @param flag the flag, not null
	 * @param value the value
	 * @param min the smallest valid value
	 * @param max the largest valid value
	 * @return this collector
	 */
	public SettingsChecks requireRange(String flag, double value, double min, double max) {
		return require(value >= min && value <= max, flag, value + " is not between " + min + " and " + max);
	}

	/**
	 * Adds an error unless a number is a port; 0 stands for any free port.
	 * @param flag the flag, not null
	 * @param port the value
	 * @return this collector
	 */
	public SettingsChecks requirePort(String flag, int port) {
		return require(port >= 0 && port <= 65535, flag, port + " is not a port");
	}

	/**
	 * Adds an error unless a duration is positive.
	 * @param flag the flag, not null
	 * @param value the value, may be null
	 * @return this collector
	 */
	public SettingsChecks requirePositive(String flag, Duration value) {
		return require(value != null && !value.isZero() && !value.isNegative(), flag,
				value + " is not a positive duration");
	}

	/**
	 * Adds an error unless a text is an IP number; names are not resolved.
	 * @param flag the flag, not null
	 * @param address the value, may be null
	 * @return this collector
	 */
	public SettingsChecks requireAddress(String flag, String address) {
		return require(address != null && ADDRESS.matcher(address).matches(), flag, address + " is not an IP number");
	}

	/**
	 * Adds an error unless an address is an {@code http} URI with host and port.
	 * @param flag the flag, not null
	 * @param uri the value, may be null
	 * @return this collector
	 */
	public SettingsChecks requireHttpUri(String flag, URI uri) {
		boolean isValid = uri != null && "http".equals(uri.getScheme()) && uri.getHost() != null && uri.getPort() > 0;
		return require(isValid, flag, uri + " is not of the form http://ADDRESS:PORT");
	}

	/**
	 * Adds a finding.
	 * @param finding the finding, not null
	 * @return this collector
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
	 * Returns whether the settings can be used.
	 * @return true if no finding is an error
	 */
	public boolean isValid() {
		return this.findings.stream().noneMatch(Finding::isError);
	}

	/**
	 * Prints all findings, one a line.
	 * @param out where to print, not null
	 * @return this collector
	 */
	public SettingsChecks print(PrintWriter out) {
		this.findings.forEach(out::println);
		out.flush();
		return this;
	}

}
