package org.celeryhill.state;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Function;

import org.celeryhill.base.AttemptId;
import org.celeryhill.base.Finding;
import org.celeryhill.base.RevisionDocument;
import org.celeryhill.base.TimerService;
import org.celeryhill.port.ObjectService;
import org.celeryhill.port.Row;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;

/**
 * Configuration revisions: immutable objects {@code config/<number>-<digest>} and one row
 * in the table {@code config} that names the latest accepted one. A revision is accepted
 * when the row names it; numbers grow by one with each acceptance and never fall. Every
 * operation blocks for the bounded tries of the {@link ConditionalWriter} and never
 * throws for a failure of a store. Thread-safe.
 */
public final class ConfigurationStore {

	/** Row of the head. */
	public static final RowKey HEAD = RowKey.of("config", "head");

	/** Turns of read and write in one operation when other writers interfere. */
	private static final int MAX_TURNS = 4;

	/** Writer of the head. */
	private final ConditionalWriter writer;

	/** Store of the revisions. */
	private final ObjectService objects;

	/** Wall clock for display. */
	private final TimerService timer;

	/** Checks a proposal. */
	private final Function<RevisionDocument, List<Finding>> validator;

	private ConfigurationStore(ConditionalWriter writer, ObjectService objects, TimerService timer,
			Function<RevisionDocument, List<Finding>> validator) {
		this.writer = Objects.requireNonNull(writer, "writer");
		this.objects = Objects.requireNonNull(objects, "objects");
		this.timer = Objects.requireNonNull(timer, "timer");
		this.validator = Objects.requireNonNull(validator, "validator");
	}

	/**
	 * Returns a store.
	 * @param writer the writer of the head, not null
	 * @param objects the store of the revisions, not null
	 * @param timer the time, not null
	 * @param validator returns the findings of a proposal; one with an error is rejected,
	 * not null
	 * @return the store, never null
	 */
	public static ConfigurationStore create(ConditionalWriter writer, ObjectService objects, TimerService timer,
			Function<RevisionDocument, List<Finding>> validator) {
		return new ConfigurationStore(writer, objects, timer, validator);
	}

	/**
	 * Proposes a revision to follow a head. Of several operators with the same expected
	 * head one is accepted and the others get {@link HeadConflict}. With a store absent
	 * it returns {@link StoreUnavailable}, and nothing is or will be accepted; after
	 * {@link OutcomeUnknown} the same proposal by the same author can be repeated to learn the
	 * outcome.
	 * @param document the files; the number is ignored, not null
	 * @param expectedHead the number of the head that the operator has seen, 0 for none
	 * @param author the operator, not null
	 * @return the result
	 */
	public ProposeResult propose(RevisionDocument document, long expectedHead, String author) {
		List<Finding> findings = this.validator.apply(document);
		if (findings.stream().anyMatch(Finding::isError)) {
			return new Rejected(findings);
		}
		AttemptId proposal = this.writer.nextAttemptId();
		RevisionDocument numbered = document.withNumber(expectedHead + 1);
		boolean mayBeWritten = false;
		for (int turn = 0; turn < MAX_TURNS; turn++) {
			Loading loading = load();
			if (loading.failure().isPresent()) {
				return (mayBeWritten) ? new OutcomeUnknown(numbered.number()) : loading.failure().get();
			}
			if (loading.head().number() != expectedHead) {
				return judge(loading.head(), numbered, author);
			}
			Optional<StoreUnavailable> failedPut = put(numbered, loading.head().digest());
			if (failedPut.isPresent()) {
				return failedPut.get();
			}
			ConditionalWriter.Outcome outcome = accept(loading, numbered, author, proposal);
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Accepted(numbered.number());
			}
			if (outcome instanceof ConditionalWriter.NotApplied failed) {
				return StoreUnavailable.unchanged(failed.reason());
			}
			if (outcome instanceof ConditionalWriter.Unresolved) {
				return new OutcomeUnknown(numbered.number());
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return (mayBeWritten) ? new OutcomeUnknown(numbered.number())
				: StoreUnavailable.unchanged("other writers interfere with the configuration head");
	}

	/**
	 * Reads the head. With the store absent it returns {@link StoreUnavailable}; daemons
	 * then rely on their peers.
	 * @return the result
	 */
	public HeadResult readHead() {
		Loading loading = load();
		return (loading.failure().isPresent()) ? loading.failure().get() : new Head(loading.head());
	}

	/**
	 * Reads an accepted revision. Recent ones take one read of the head and one of an
	 * object; older ones take one more object for each revision in between. With a store
	 * absent it returns {@link StoreUnavailable}.
	 * @param number the number, positive
	 * @return the result
	 */
	public FetchResult fetch(long number) {
		Loading loading = load();
		if (loading.failure().isPresent()) {
			return loading.failure().get();
		}
		List<ConfigurationHead.Acceptance> recent = loading.head().recent();
		if (number < 1 || number > loading.head().number()) {
			return new NotAccepted(number);
		}
		Optional<ConfigurationHead.Acceptance> kept = loading.head().findAcceptance(number);
		ConfigurationHead.Acceptance start = kept.orElse(recent.get(recent.size() - 1));
		return walk(start.number(), start.digest(), number);
	}

	/**
	 * Reads the latest acceptances, highest number first, at most
	 * {@link ConfigurationHead#MAX_RECENT}. With the store absent it returns
	 * {@link StoreUnavailable}.
	 * @return the head, whose list of acceptances is the history
	 */
	public HeadResult readHistory() {
		return readHead();
	}

	private ProposeResult judge(ConfigurationHead head, RevisionDocument numbered, String author) {
		boolean isOwn = head.findAcceptance(numbered.number())
			.filter((one) -> one.digest().equals(numbered.digest()) && one.author().equals(author))
			.isPresent();
		return (isOwn) ? new Accepted(numbered.number()) : new HeadConflict(head.number());
	}

	private Optional<StoreUnavailable> put(RevisionDocument document, String previousDigest) {
		byte[] bytes = StateJson.write(new StoredRevision(document.number(), document.files(), previousDigest))
			.getBytes(StandardCharsets.UTF_8);
		String name = objectName(document.number(), document.digest());
		ObjectService.PutResult result = this.objects.put(name, bytes);
		for (int retry = 1; retry < MAX_TURNS && result == ObjectService.PutResult.UNKNOWN; retry++) {
			result = this.objects.put(name, bytes);
		}
		return (result == ObjectService.PutResult.STORED) ? Optional.empty()
				: Optional.of(StoreUnavailable.unchanged("object " + name + " could not be stored: " + result));
	}

	private ConditionalWriter.Outcome accept(Loading loading, RevisionDocument document, String author,
			AttemptId proposal) {
		ConfigurationHead.Acceptance acceptance = new ConfigurationHead.Acceptance(document.number(), document.digest(),
				author, proposal, this.timer.instant().toEpochMilli());
		String json = StateJson.write(loading.head().accept(acceptance));
		return this.writer.write(proposal,
				loading.row().map((row) -> RowWrite.replace(row, json)).orElseGet(() -> RowWrite.create(HEAD, json)));
	}

	private FetchResult walk(long startNumber, String startDigest, long wanted) {
		String digest = startDigest;
		for (long number = startNumber; number >= wanted; number--) {
			String name = objectName(number, digest);
			ObjectService.GetResult result = this.objects.get(name);
			if (!(result instanceof ObjectService.Content content)) {
				return StoreUnavailable.unchanged("object " + name + " could not be read");
			}
			Optional<StoredRevision> stored = StateJson.read(new String(content.bytes(), StandardCharsets.UTF_8),
					StoredRevision.class);
			if (stored.isEmpty() || !stored.get().toDocument().digest().equals(digest)) {
				return StoreUnavailable.unchanged("object " + name + " does not have its digest");
			}
			if (number == wanted) {
				return new Fetched(stored.get().toDocument());
			}
			digest = stored.get().previousDigest();
		}
		return new NotAccepted(wanted);
	}

	private Loading load() {
		TableService.ReadResult result = this.writer.read(HEAD);
		if (result instanceof TableService.Absent) {
			return new Loading(Optional.empty(), ConfigurationHead.NONE, Optional.empty());
		}
		if (result instanceof TableService.Found found) {
			Optional<ConfigurationHead> head = StateJson.read(found.row().value(), ConfigurationHead.class);
			Optional<StoreUnavailable> malformed = (head.isPresent()) ? Optional.empty()
					: Optional.of(StoreUnavailable.unchanged("malformed row of the configuration head"));
			return new Loading(Optional.of(found.row()), head.orElse(ConfigurationHead.NONE), malformed);
		}
		return new Loading(Optional.empty(), ConfigurationHead.NONE,
				Optional.of(StoreUnavailable.unchanged(((TableService.ReadFailed) result).reason())));
	}

	private static String objectName(long number, String digest) {
		return "config/" + number + "-" + digest;
	}

	/** Result of {@link ConfigurationStore#propose}. */
	public sealed interface ProposeResult permits Accepted, HeadConflict, Rejected, OutcomeUnknown, StoreUnavailable {

	}

	/**
	 * The revision is accepted.
	 *
	 * @param number its number
	 */
	public record Accepted(long number) implements ProposeResult {

	}

	/**
	 * The head is another one than the operator has seen. The proposal is not and will
	 * not be accepted.
	 *
	 * @param number the number of the head
	 */
	public record HeadConflict(long number) implements ProposeResult {

	}

	/**
	 * The proposal has errors.
	 *
	 * @param findings all findings, not null
	 */
	public record Rejected(List<Finding> findings) implements ProposeResult {

		/** Copies the list. */
		public Rejected {
			findings = List.copyOf(findings);
		}

	}

	/**
	 * The proposal may be accepted now or later.
	 *
	 * @param number the number it then has
	 */
	public record OutcomeUnknown(long number) implements ProposeResult {

	}

	/** Result of {@link ConfigurationStore#readHead}. */
	public sealed interface HeadResult permits Head, StoreUnavailable {

	}

	/**
	 * The head.
	 *
	 * @param head the head, not null
	 */
	public record Head(ConfigurationHead head) implements HeadResult {

	}

	/** Result of {@link ConfigurationStore#fetch}. */
	public sealed interface FetchResult permits Fetched, NotAccepted, StoreUnavailable {

	}

	/**
	 * The revision.
	 *
	 * @param document the revision with its number, not null
	 */
	public record Fetched(RevisionDocument document) implements FetchResult {

	}

	/**
	 * No revision is accepted under the number.
	 *
	 * @param number the number
	 */
	public record NotAccepted(long number) implements FetchResult {

	}

	/**
	 * Content of the object of a revision.
	 *
	 * @param number the number
	 * @param files the text by file name
	 * @param previousDigest the digest of the revision before, empty for the first
	 */
	private record StoredRevision(long number, Map<String, String> files, String previousDigest) {

		private RevisionDocument toDocument() {
			return new RevisionDocument(this.number, this.files);
		}

	}

	/**
	 * The head as read.
	 *
	 * @param row the row, empty before the first acceptance
	 * @param head the head
	 * @param failure why it could not be read, empty if it could
	 */
	private record Loading(Optional<Row> row, ConfigurationHead head, Optional<StoreUnavailable> failure) {

	}

}
