package org.celeryhill.systemtest;

import java.io.IOException;
import java.net.URI;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;

import io.cucumber.java.After;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Step definitions for requests that pass through all processes.
 */
public class EndToEndSteps {

	/** Fleet of the scenario. */
	private Fleet fleet;

	/** Result of the latest stream. */
	private Caller.StreamResult streamResult;

	/** Outcomes of the latest bookings, one for each entry daemon. */
	private List<Caller.Booking> bookings = List.of();

	/**
	 * Starts the fleet.
	 * @param entries the number of entry daemons
	 * @param planners the number of planner daemons
	 * @throws IOException if the log directory cannot be created
	 */
	@Given("a fleet of {int} entry daemons and {int} planner daemon(s) with the example configuration")
	public void startFleet(int entries, int planners) throws IOException {
		this.fleet = Fleet.start(Files.createTempDirectory("celeryhill-feature"), entries, planners);
	}

	/** Stops the fleet. */
	@After
	public void stopFleet() {
		if (this.fleet != null) {
			this.fleet.close();
		}
	}

	/**
	 * Streams a chat completion with a single request.
	 * @param organisation the organisation whose API key is used
	 * @param tokens the number of tokens to generate
	 * @param model the model id
	 */
	@When("organisation {string} streams {int} tokens from {string}")
	public void stream(String organisation, int tokens, String model) {
		this.streamResult = this.fleet.newCaller(organisation + "-key").streamOnce(model, "why is it short", tokens);
	}

	/** Checks that the latest stream is complete and has text. */
	@Then("the response is complete")
	public void checkResponseIsComplete() {
		assertThat(this.streamResult.isComplete()).as(this.streamResult.toString()).isTrue();
		assertThat(this.streamResult.text()).isNotBlank();
	}

	/**
	 * Checks the only response to the latest stream.
	 * @param status the expected HTTP status
	 * @param execution the expected execution field of the error
	 */
	@Then("the request is refused with status {int} and execution {string}")
	public void refused(int status, String execution) {
		assertThat(this.streamResult.refusals()).singleElement()
			.asString()
			.startsWith(status + " ")
			.contains("\"execution\":\"" + execution + "\"");
	}

	/**
	 * Makes the same booking through each entry daemon in turn.
	 * @param organisation the organisation whose API key is used
	 * @param key the idempotency key of all calls
	 */
	@When("organisation {string} books with key {string} through every entry daemon")
	public void bookThroughEveryEntryDaemon(String organisation, String key) {
		this.bookings = new ArrayList<>();
		for (URI host : this.fleet.allHosts()) {
			this.bookings.add(new Caller(() -> List.of(host), organisation + "-key").book(key));
		}
	}

	/** Checks that every caller got a successful response. */
	@Then("every caller is told that the call ran")
	public void checkEveryCallerIsToldThatCallRan() {
		assertThat(this.bookings).extracting(Caller.Booking::execution).containsOnly("ran");
	}

	/**
	 * Checks that the backend servers ran a booking exactly once.
	 * @param key the idempotency key of the booking
	 */
	@Then("the call with key {string} ran once")
	public void checkCallRanOnce(String key) {
		assertThat(this.fleet.standinClient().readExecutionCounts()).containsEntry(key, 1);
	}

}
