package org.celeryhill.edge;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;

import org.celeryhill.base.ModelId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.forward.DemandListener;

/**
 * Measures the demand for each model at this host and selects what the lease holder does
 * not know of it yet. Must be used on the event loop.
 */
final class DemandMeter implements DemandListener {

	private final DemandRates rates = new DemandRates();

	private Optional<InetSocketAddress> informedHost = Optional.empty();

	private long informedNanos;

	@Override
	public void onRequest(ServiceId service, ModelId model, double value) {
		this.rates.add(new Key(service, model), value, 0);
	}

	@Override
	public void onLateRequest(ServiceId service, ModelId model, double value) {
		this.rates.add(new Key(service, model), 0, value);
	}

	// Returns the current rates of all models in demand.
	Map<Key, Rate> rates() {
		return this.rates.current();
	}

	// Returns whether a host knows the rates of this host up to some time, so that it
	// needs only those that changed since.
	boolean isInformed(InetSocketAddress host) {
		return this.informedHost.filter(host::equals).isPresent();
	}

	// Returns the rates that a host does not know yet.
	Map<Key, Rate> unknownRates(InetSocketAddress host) {
		return isInformed(host) ? this.rates.changedSince(this.informedNanos) : this.rates.current();
	}

	// Records that a host has received the rates that were unknown to it at a time.
	void recordInformed(InetSocketAddress host, long nanos) {
		this.informedHost = Optional.of(host);
		this.informedNanos = nanos;
	}

	// Records that no host knows the rates of this host.
	void forgetInformedHost() {
		this.informedHost = Optional.empty();
	}

	/**
	 * Identifies a model of a service.
	 *
	 * @param service the service, not null
	 * @param model the model, not null
	 */
	record Key(ServiceId service, ModelId model) {
	}

	/**
	 * Demand for one model, as the value of requests per second.
	 *
	 * @param valuePerSecond the value of all requests
	 * @param latePerSecond the value of the requests that were answered late or not at
	 * all
	 */
	record Rate(double valuePerSecond, double latePerSecond) {

		Rate plus(Rate other) {
			return new Rate(this.valuePerSecond + other.valuePerSecond, this.latePerSecond + other.latePerSecond);
		}

	}

}
