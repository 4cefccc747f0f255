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
 * Steps of the whole path.
 */
public class WholePathSteps {

	/** Fleet of the scenario. */
	private Fleet fleet;

	/** Latest answer. */
	private Caller.Answer answer;

	/** Latest bookings. */
	private List<Caller.Booking> bookings = List.of();

	/**
	 * Starts the fleet.
	 * @param entries the entry daemons
	 * @param planners the planner daemons
	 * @throws IOException if no directory can be made
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
	 * Streams an answer.
	 * @param organisation the organisation
	 * @param tokens the length of the answer
	 * @param model the model
	 */
	@When("organisation {string} streams {int} tokens from {string}")
	public void stream(String organisation, int tokens, String model) {
		this.answer = this.fleet.caller(organisation + "-key").streamOnce(model, "why is it short", tokens);
	}

	/** Checks the answer. */
	@Then("the answer is complete")
	public void answerIsComplete() {
		assertThat(this.answer.isComplete()).as(this.answer.toString()).isTrue();
		assertThat(this.answer.text()).isNotBlank();
	}

	/**
	 * Checks the refusal.
	 * @param status the HTTP status
	 * @param execution what the error says about the execution
	 */
	@Then("the request is refused with status {int} and execution {string}")
	public void refused(int status, String execution) {
		assertThat(this.answer.refusals()).singleElement()
			.asString()
			.startsWith(status + " ")
			.contains("\"execution\":\"" + execution + "\"");
	}

	/**
	 * Books through each entry daemon with the same key.
	 * @param organisation the organisation
	 * @param key the idempotency key
	 */
	@When("organisation {string} books with key {string} through every entry daemon")
	public void book(String organisation, String key) {
		this.bookings = new ArrayList<>();
		for (URI host : this.fleet.allHosts()) {
			this.bookings.add(new Caller(() -> List.of(host), organisation + "-key").book(key));
		}
	}

	/** Checks what the callers were told. */
	@Then("every caller is told that the call ran")
	public void everyCallRan() {
		assertThat(this.bookings).extracting(Caller.Booking::execution).containsOnly("ran");
	}

	/**
	 * Checks the backend servers.
	 * @param key the idempotency key
	 */
	@Then("the call with key {string} ran once")
	public void ranOnce(String key) {
		assertThat(this.fleet.standins().executions()).containsEntry(key, 1);
	}

}
