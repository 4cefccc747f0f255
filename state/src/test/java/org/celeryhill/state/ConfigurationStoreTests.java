package org.celeryhill.state;

import java.util.List;
import java.util.Map;

import org.celeryhill.base.Finding;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.fake.FakeObjectService;
import org.celeryhill.fake.Fault;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ConfigurationStoreTests {

	private final StateFixture fixture = new StateFixture();

	private final ConfigurationStore store = ConfigurationStore.create(this.fixture.writer, this.fixture.objects,
			this.fixture.timer, (document) -> document.files().containsKey("bad")
					? List.of(Finding.error("bad", 1, "", "is bad")) : List.of());

	/**
	 * Guards against two operators who both get their proposal for the same head reported
	 * as accepted. Repeating the accepted proposal confirms it.
	 */
	@Test
	void oneOfConcurrentProposalsIsAccepted() {
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
		assertThat(this.store.propose(document("two"), 0, "bert")).isEqualTo(new ConfigurationStore.HeadConflict(1));
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
	}

	/**
	 * Guards against an accepted proposal that is reported as failed because the response
	 * of its write was lost.
	 */
	@Test
	void repeatedProposalResolvesUnknownOutcome() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.NONE, Fault.LOST_ANSWER, Fault.DOWN, Fault.DOWN,
				Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.OutcomeUnknown(1));
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
	}

	/**
	 * Guards against an accepted proposal that is reported as not accepted because its
	 * second try met a conflict with its own first one (found by fuzzing, seed 202).
	 */
	@Test
	void conflictWithOwnWriteHasUnknownOutcome() {
		this.fixture.faults.script(StateFixture.TABLE, Fault.NONE);
		this.fixture.faults.script(StateFixture.TABLE, Fault.LOST_ANSWER, Fault.DOWN, Fault.NONE, Fault.DOWN,
				Fault.DOWN, Fault.DOWN, Fault.DOWN);
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.OutcomeUnknown(1));
		this.fixture.faults.clear();
		assertThat(this.store.propose(document("one"), 0, "anna")).isEqualTo(new ConfigurationStore.Accepted(1));
	}

	/** Guards against a head that names a revision object which could not be stored. */
	@Test
	void nothingIsAcceptedWithoutObjectStore() {
		this.fixture.faults.setDown(FakeObjectService.TARGET, true);
		assertThat(this.store.propose(document("one"), 0, "anna")).isInstanceOf(StoreUnavailable.class);
		assertThat(this.store.readHead()).isEqualTo(new ConfigurationStore.Head(ConfigurationHead.NONE));
	}

	/**
	 * Guards against revisions that cannot be read any more after the head row has
	 * dropped them.
	 */
	@Test
	void revisionsNotListedInHeadAreFetched() {
		for (int number = 0; number < 40; number++) {
			this.store.propose(document("text " + number), number, "anna");
		}
		RevisionDocument second = ((ConfigurationStore.Fetched) this.store.fetch(2)).document();
		assertThat(second).isEqualTo(document("text 1").withNumber(2));
		assertThat(this.store.fetch(41)).isEqualTo(new ConfigurationStore.NotAccepted(41));
	}

	/**
	 * Guards against the acceptance of a configuration with errors, which no daemon could
	 * apply.
	 */
	@Test
	void proposalWithErrorIsRejected() {
		assertThat(this.store.propose(new RevisionDocument(0, Map.of("bad", "")), 0, "anna"))
			.isInstanceOf(ConfigurationStore.Rejected.class);
	}

	/**
	 * Guards against a daemon that applies a revision although it has applied or knows of
	 * a higher one.
	 */
	@Test
	void revisionsBelowKnownOneCannotBeApplied() {
		AppliedRevision state = AppliedRevision.NONE.withKnown(7);
		assertThat(state.canApply(6)).isFalse();
		assertThat(state.withApplied(7).canApply(7)).isFalse();
		assertThat(state.withApplied(7).withKnown(3).canApply(8)).isTrue();
	}

	private static RevisionDocument document(String text) {
		return new RevisionDocument(0, Map.of("template.yaml", text));
	}

}
