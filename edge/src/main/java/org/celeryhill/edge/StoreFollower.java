package org.celeryhill.edge;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import org.celeryhill.forward.ServerDirectory;
import org.celeryhill.platform.JsonHttpClient;
import org.celeryhill.platform.PlatformTables;
import org.celeryhill.platform.StoreClient;
import org.celeryhill.platform.StoreFeed;

/**
 * Follows the operator's and the engines' rows. The holder of the placement lease asks
 * the store and passes on what it learns with its answers to beats; the other hosts ask
 * the store only while they do not hear from a holder whose knowledge is recent. So the
 * calls to the store do not grow with the number of hosts. Must be used on the event
 * loop.
 */
final class StoreFollower {

	/**
	 * Knowledge that is older is renewed from the store. A change has to be known 2 s
	 * after the store has accepted it.
	 */
	private static final long MAX_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(1300);

	/**
	 * Time that a call of the holder waits for changes. With a beat it stays below the
	 * greatest age.
	 */
	private static final Duration HOLDER_WAIT = Duration.ofMillis(600);

	private final PauseDetector pauses = new PauseDetector();

	private final HostListFollower hosts;

	private final StoreFeed operator;

	private final StoreFeed servers;

	private boolean isHeard;

	private long heardNanos;

	private StoreFollower(HostListFollower hosts, StoreFeed operator, StoreFeed servers) {
		this.hosts = hosts;
		this.operator = operator;
		this.servers = servers;
	}

	static StoreFollower create(StoreClient store, EventLoop loop, ConfigurationHolder configuration,
			ServerDirectory directory) {
		HostListFollower hosts = new HostListFollower(loop, directory);
		return new StoreFollower(hosts, StoreFeed.create(store, loop, PlatformTables.OPERATOR_TABLE, configuration),
				StoreFeed.create(store, loop, PlatformTables.BACKEND_SERVERS_TABLE, hosts));
	}

	// Asks the store, or lets the holder do so.
	void tick(boolean isHolder) {
		long now = System.nanoTime();
		this.pauses.look();
		boolean isRecent = this.isHeard && now - this.heardNanos < MAX_AGE_NANOS
				&& this.pauses.isAfterPause(this.heardNanos);
		follow(this.operator, isHolder, isRecent);
		follow(this.servers, isHolder, isRecent);
	}

	private static void follow(StoreFeed feed, boolean isHolder, boolean isRecent) {
		feed.setWait(isHolder ? HOLDER_WAIT : StoreFeed.DEFAULT_WAIT);
		if (isRecent && !isHolder) {
			feed.pause();
		}
		else {
			feed.resume();
		}
	}

	// Returns the version of the engines' rows that this host knows.
	long serverVersion() {
		return this.servers.version();
	}

	// Returns what the holder tells a host that knows the engines' rows up to a version;
	// empty if its own knowledge is old.
	Optional<ObjectNode> encode(long version) {
		long now = System.nanoTime();
		this.pauses.look();
		long answered = Math.min(this.operator.lastResponseNanos() - now, this.servers.lastResponseNanos() - now) + now;
		boolean isCertain = this.pauses.isAfterPause(this.operator.lastCallStartNanos())
				&& this.pauses.isAfterPause(this.servers.lastCallStartNanos());
		if (this.servers.version() < 0 || !isCertain || now - answered >= MAX_AGE_NANOS) {
			return Optional.empty();
		}
		boolean isWhole = version < 0 || !this.servers.hasAllChangesAfter(version);
		ObjectNode node = JsonHttpClient.MAPPER.createObjectNode();
		node.put("ageMs", TimeUnit.NANOSECONDS.toMillis(now - answered));
		node.put("regainedMs", this.hosts.millisSinceRegained());
		node.put("isWhole", isWhole);
		PeerMessages.encodeRows(node, this.servers.changesAfter(isWhole ? -1 : version));
		return Optional.of(node);
	}

	// Takes what the holder has told in answer to a beat that was sent at a time.
	void receive(JsonNode node, long sentNanos) {
		this.hosts.regained(node.path("regainedMs").asLong());
		this.servers.apply(PeerMessages.decodeRows(node), node.path("isWhole").asBoolean());
		long current = sentNanos - TimeUnit.MILLISECONDS.toNanos(node.path("ageMs").asLong());
		if (!this.isHeard || current - this.heardNanos > 0) {
			this.isHeard = true;
			this.heardNanos = current;
		}
	}

}
