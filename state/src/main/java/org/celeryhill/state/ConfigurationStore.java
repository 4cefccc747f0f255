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
 * Store of the configuration revisions. The content of a revision is an immutable object
 * {@code config/<number>-<digest>}; one row in the table {@code config}, the head, names
 * the latest accepted revision. A revision is accepted when the head names it; the number
 * grows by one with each acceptance and never decreases. Every operation blocks while the
 * {@link ConditionalWriter} makes its bounded tries, and does not throw an exception if a
 * store fails. Thread-safe.
 */
public final class ConfigurationStore {

	/** Row key of the head. */
	public static final RowKey HEAD = RowKey.of("config", "head");

	/**
	 * Maximum number of read and write rounds of an operation when other writers change
	 * the head, and of tries to store an object.
	 */
	private static final int MAX_ROUNDS = 4;

	/** Writer of the head. */
	private final ConditionalWriter writer;

	/** Object service that stores the revisions. */
	private final ObjectService objects;

	/** Wall clock for the displayed time of an acceptance. */
	private final TimerService timer;

	/** Returns the findings of a proposed revision. */
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
	 * @param objects the object service that stores the revisions, not null
	 * @param timer the source of the wall-clock time, not null
	 * @param validator returns the findings of a proposed revision; a revision with an
	 * error is rejected, not null
	 * @return the store, never null
	 */
	public static ConfigurationStore create(ConditionalWriter writer, ObjectService objects, TimerService timer,
			Function<RevisionDocument, List<Finding>> validator) {
		return new ConfigurationStore(writer, objects, timer, validator);
	}

	/**
	 * Proposes a revision to follow the head that the operator has seen. If several
	 * operators propose for the same head, one proposal is accepted and the others get
	 * {@link HeadConflict}. If a store is unavailable, the method returns
	 * {@link StoreUnavailable} and the proposal is not and will not be accepted. After
	 * {@link OutcomeUnknown} the same author can repeat the same proposal to learn the
	 * outcome.
	 * @param document the files of the revision, whose number is ignored, not null
	 * @param expectedHead the number of the head that the operator has seen, 0 if there
	 * is none
	 * @param author the operator who proposes the revision, not null
	 * @return the result
	 */
	public ProposeResult propose(RevisionDocument document, long expectedHead, String author) {
		List<Finding> findings = this.validator.apply(document);
		if (findings.stream().anyMatch(Finding::isError)) {
			return new Rejected(findings);
		}
		AttemptId proposal = this.writer.nextAttemptId();
		RevisionDocument numberedDocument = document.withNumber(expectedHead + 1);
		boolean mayBeWritten = false;
		for (int round = 0; round < MAX_ROUNDS; round++) {
			HeadSnapshot snapshot = load();
			if (snapshot.failure().isPresent()) {
				return (mayBeWritten) ? new OutcomeUnknown(numberedDocument.number()) : snapshot.failure().get();
			}
			if (snapshot.head().number() != expectedHead) {
				return checkAcceptance(snapshot.head(), numberedDocument, author);
			}
			Optional<StoreUnavailable> putFailure = storeObject(numberedDocument, snapshot.head().digest());
			if (putFailure.isPresent()) {
				return putFailure.get();
			}
			ConditionalWriter.Outcome outcome = writeHead(snapshot, numberedDocument, author, proposal);
			if (outcome instanceof ConditionalWriter.Applied) {
				return new Accepted(numberedDocument.number());
			}
			if (outcome instanceof ConditionalWriter.NotApplied failed) {
				return StoreUnavailable.nothingWritten(failed.reason());
			}
			if (outcome instanceof ConditionalWriter.Unresolved) {
				return new OutcomeUnknown(numberedDocument.number());
			}
			mayBeWritten |= StoreUnavailable.mayBeWritten(outcome);
		}
		return (mayBeWritten) ? new OutcomeUnknown(numberedDocument.number())
				: StoreUnavailable.nothingWritten("too many concurrent changes of the configuration head");
	}

	/**
	 * Reads the head. If the store is unavailable, the method returns
	 * {@link StoreUnavailable}; daemons then rely on their peers.
	 * @return the result
	 */
	public HeadResult readHead() {
		HeadSnapshot snapshot = load();
		return (snapshot.failure().isPresent()) ? snapshot.failure().get() : new Head(snapshot.head());
	}

	/**
	 * Reads an accepted revision. A revision that the head lists takes one read of the
	 * head and one of an object; an older one takes one more object for each revision in
	 * between. If a store is unavailable, the method returns {@link StoreUnavailable}.
	 * @param number the number of the revision, positive
	 * @return the result
	 */
	public FetchResult fetch(long number) {
		HeadSnapshot snapshot = load();
		if (snapshot.failure().isPresent()) {
			return snapshot.failure().get();
		}
		List<ConfigurationHead.Acceptance> recent = snapshot.head().recent();
		if (number < 1 || number > snapshot.head().number()) {
			return new NotAccepted(number);
		}
		Optional<ConfigurationHead.Acceptance> listed = snapshot.head().findAcceptance(number);
		ConfigurationHead.Acceptance start = listed.orElse(recent.get(recent.size() - 1));
		return fetchFrom(start.number(), start.digest(), number);
	}

	/**
	 * Reads the latest acceptances, highest number first, at most
	 * {@link ConfigurationHead#MAX_RECENT}. If the store is unavailable, the method
	 * returns {@link StoreUnavailable}.
	 * @return the head, which lists the latest acceptances
	 */
	public HeadResult readHistory() {
		return readHead();
	}

	private ProposeResult checkAcceptance(ConfigurationHead head, RevisionDocument numberedDocument, String author) {
		boolean isOwnProposal = head.findAcceptance(numberedDocument.number())
			.filter((candidate) -> candidate.digest().equals(numberedDocument.digest())
					&& candidate.author().equals(author))
			.isPresent();
		return (isOwnProposal) ? new Accepted(numberedDocument.number()) : new HeadConflict(head.number());
	}

	private Optional<StoreUnavailable> storeObject(RevisionDocument document, String previousDigest) {
		byte[] bytes = StateJson.write(new StoredRevision(document.number(), document.files(), previousDigest))
			.getBytes(StandardCharsets.UTF_8);
		String name = objectName(document.number(), document.digest());
		ObjectService.PutResult result = this.objects.put(name, bytes);
		for (int retry = 1; retry < MAX_ROUNDS && result == ObjectService.PutResult.UNKNOWN; retry++) {
			result = this.objects.put(name, bytes);
		}
		return (result == ObjectService.PutResult.STORED) ? Optional.empty()
				: Optional.of(StoreUnavailable.nothingWritten("object " + name + " could not be stored: " + result));
	}

	private ConditionalWriter.Outcome writeHead(HeadSnapshot snapshot, RevisionDocument document, String author,
			AttemptId proposal) {
		ConfigurationHead.Acceptance acceptance = new ConfigurationHead.Acceptance(document.number(), document.digest(),
				author, proposal, this.timer.instant().toEpochMilli());
		String json = StateJson.write(snapshot.head().accept(acceptance));
		return this.writer.write(proposal,
				snapshot.row().map((row) -> RowWrite.replace(row, json)).orElseGet(() -> RowWrite.create(HEAD, json)));
	}

	private FetchResult fetchFrom(long startNumber, String startDigest, long requestedNumber) {
		String digest = startDigest;
		for (long number = startNumber; number >= requestedNumber; number--) {
			String name = objectName(number, digest);
			ObjectService.GetResult result = this.objects.get(name);
			if (!(result instanceof ObjectService.Content content)) {
				return StoreUnavailable.nothingWritten("object " + name + " could not be read");
			}
			Optional<StoredRevision> stored = StateJson.read(new String(content.bytes(), StandardCharsets.UTF_8),
					StoredRevision.class);
			if (stored.isEmpty() || !stored.get().toDocument().digest().equals(digest)) {
				return StoreUnavailable.nothingWritten("object " + name + " does not match its digest");
			}
			if (number == requestedNumber) {
				return new Fetched(stored.get().toDocument());
			}
			digest = stored.get().previousDigest();
		}
		return new NotAccepted(requestedNumber);
	}

	private HeadSnapshot load() {
		TableService.ReadResult result = this.writer.read(HEAD);
		if (result instanceof TableService.Absent) {
			return new HeadSnapshot(Optional.empty(), ConfigurationHead.NONE, Optional.empty());
		}
		if (result instanceof TableService.Found found) {
			Optional<ConfigurationHead> head = StateJson.read(found.row().value(), ConfigurationHead.class);
			Optional<StoreUnavailable> malformed = (head.isPresent()) ? Optional.empty()
					: Optional.of(StoreUnavailable.nothingWritten("malformed row of the configuration head"));
			return new HeadSnapshot(Optional.of(found.row()), head.orElse(ConfigurationHead.NONE), malformed);
		}
		return new HeadSnapshot(Optional.empty(), ConfigurationHead.NONE,
				Optional.of(StoreUnavailable.nothingWritten(((TableService.ReadFailed) result).reason())));
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
	 * The head has changed since the operator read it. The proposal is not and will not
	 * be accepted.
	 *
	 * @param number the number of the current head
	 */
	public record HeadConflict(long number) implements ProposeResult {

	}

	/**
	 * The proposal has errors.
	 *
	 * @param findings all findings, including those that are not errors, not null
	 */
	public record Rejected(List<Finding> findings) implements ProposeResult {

		/** Copies the list. */
		public Rejected {
			findings = List.copyOf(findings);
		}

	}

	/**
	 * The proposal may have been accepted or may still be accepted.
	 *
	 * @param number the number of the revision if it is accepted
	 */
	public record OutcomeUnknown(long number) implements ProposeResult {

	}

	/** Result of {@link ConfigurationStore#readHead}. */
	public sealed interface HeadResult permits Head, StoreUnavailable {

	}

	/**
	 * The head as read.
	 *
	 * @param head the head, not null
	 */
	public record Head(ConfigurationHead head) implements HeadResult {

	}

	/** Result of {@link ConfigurationStore#fetch}. */
	public sealed interface FetchResult permits Fetched, NotAccepted, StoreUnavailable {

	}

	/**
	 * The revision as read.
	 *
	 * @param document the revision with its number, not null
	 */
	public record Fetched(RevisionDocument document) implements FetchResult {

	}

	/**
	 * No accepted revision has the number.
	 *
	 * @param number the number
	 */
	public record NotAccepted(long number) implements FetchResult {

	}

	/**
	 * Content of a revision object.
	 *
	 * @param number the number
	 * @param files the texts of the files, by file name
	 * @param previousDigest the digest of the previous revision, empty for the first
	 * revision
	 */
	private record StoredRevision(long number, Map<String, String> files, String previousDigest) {

		private RevisionDocument toDocument() {
			return new RevisionDocument(this.number, this.files);
		}

	}

	/**
	 * The head as read.
	 *
	 * @param row the row, empty before the first acceptance or if the read failed
	 * @param head the head
	 * @param failure the failure of the read, empty if it succeeded
	 */
	private record HeadSnapshot(Optional<Row> row, ConfigurationHead head, Optional<StoreUnavailable> failure) {

	}

}
