package org.celeryhill.entry;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;

import org.celeryhill.peer.Member;

/**
 * Builds the state dump of a daemon for operators. Thread-safe.
 */
final class StateReport {

	/** Daemon whose state is reported. */
	private final EntryDaemon daemon;

	/** Settings of the daemon. */
	private final EntrySettings settings;

	StateReport(EntryDaemon daemon, EntrySettings settings) {
		this.daemon = Objects.requireNonNull(daemon, "daemon");
		this.settings = Objects.requireNonNull(settings, "settings");
	}

	Map<String, Object> toTree() {
		Map<String, Object> tree = new LinkedHashMap<>();
		tree.put("host", this.settings.hostId);
		tree.put("data_centre", this.settings.dataCentre);
		tree.put("ready", this.daemon.isReady());
		tree.put("revision", this.daemon.revisions().number());
		tree.put("highest_revision_heard", this.daemon.revisions().highestKnownNumber());
		tree.put("open_requests", this.daemon.rootHandler().openRequests());
		tree.put("generations", this.daemon.relays().size());
		tree.put("held_claims", this.daemon.claimedCalls().heldClaims());
		tree.put("traffic", this.daemon.dispatcher().withLock((traffic) -> traffic.dump()));
		tree.put("backends", this.daemon.backends().all().stream().map(this::toTree).toList());
		tree.put("members", this.daemon.members().stream().map(this::toTree).toList());
		return tree;
	}

	private Map<String, Object> toTree(BackendRegistry.Backend backend) {
		Map<String, Object> one = new LinkedHashMap<>();
		one.put("id", backend.entry().id().value());
		one.put("kind", backend.entry().kind().name());
		one.put("service", backend.entry().service().value());
		one.put("address", backend.entry().address().toString());
		one.put("leaving", this.daemon.backends().isLeaving(backend.entry()));
		return one;
	}

	private Map<String, Object> toTree(Member member) {
		Map<String, Object> one = new LinkedHashMap<>();
		one.put("host", member.host().value());
		one.put("address", member.address().toString());
		one.put("data_centre", member.dataCentre().value());
		one.put("leaving", member.isLeaving());
		return one;
	}

}
