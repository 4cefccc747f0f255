package org.celeryhill.measure;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.LongStream;

import org.celeryhill.base.BackendServerId;
import org.celeryhill.base.DataCentre;
import org.celeryhill.base.FencingToken;
import org.celeryhill.base.HostId;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.OrganisationId;
import org.celeryhill.base.PriorityClass;
import org.celeryhill.base.RequestId;
import org.celeryhill.base.ServiceId;
import org.celeryhill.config.ModelSpec;
import org.celeryhill.config.OrganisationParameters;
import org.celeryhill.config.PlacementLimits;
import org.celeryhill.config.Revision;
import org.celeryhill.config.ServiceTemplate;
import org.celeryhill.port.EngineReport;
import org.celeryhill.traffic.AttemptOutcome;
import org.celeryhill.traffic.BackendView;
import org.celeryhill.traffic.DefaultTrafficController;
import org.celeryhill.traffic.TrafficAction;
import org.celeryhill.traffic.TrafficController;
import org.celeryhill.traffic.TrafficRequest;
import org.celeryhill.traffic.TrafficTunables;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;

/**
 * Measures the time of one admission and one routing decision. Both use the complete
 * controller: {@code admit} offers a request to a long queue and cancels it;
 * {@code route} offers, dispatches and finishes a request.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {

	/** Service of all engines. */
	private static final ServiceId SERVICE = ServiceId.of("engines");

	/** Model of the routed requests, ready on all engines. */
	private static final ModelId MODEL = ModelId.of("model@1");

	/** Model that no engine has, for the queue of the admission benchmark. */
	private static final ModelId ABSENT_MODEL = ModelId.of("absent@1");

	/** Organisation of all requests. */
	private static final OrganisationId ORGANISATION = OrganisationId.of("mill-a");

	/** Number of requests that wait during the benchmarks. */
	private static final int WAITING_REQUESTS = 1000;

	/** Number of engines with the model. */
	@Param({ "11", "3400" })
	private int engines;

	/** Traffic controller that is measured. */
	private TrafficController controller;

	/** Hashes of the prompt prefix of the requests. */
	private List<Long> prefix;

	/** Current time, in nanoseconds. */
	private long now;

	/** Number of requests so far. */
	private long requestCount;

	/** Creates the controller, the engines and the waiting requests. */
	@Setup
	public void prepare() {
		this.prefix = LongStream.range(0, 30).boxed().toList();
		this.controller = DefaultTrafficController.create(HostId.of("host"), DataCentre.of("dc-0"), "1", 1,
				TrafficTunables.DEFAULTS);
		List<ModelSpec> models = List.of(new ModelSpec(MODEL, 1, Optional.empty(), 1, this.engines),
				new ModelSpec(ABSENT_MODEL, 1, Optional.empty(), 1, this.engines));
		Revision revision = new Revision(1,
				List.of(new ServiceTemplate(SERVICE, ServiceTemplate.Kind.MODEL_ENGINE, Deployment.targets(),
						new PlacementLimits(1, 1, 1), List.of())),
				List.of(new OrganisationParameters(ORGANISATION, SERVICE, 1, models, EnumSet.allOf(PriorityClass.class),
						Set.of(), 100)));
		this.controller.apply(revision, 0);
		for (int i = 0; i < this.engines; i++) {
			addEngine(i);
		}
		for (int i = 0; i < WAITING_REQUESTS; i++) {
			this.controller.offer(request(ABSENT_MODEL, PriorityClass.BATCH), 0);
		}
		this.controller.dispatch(0);
	}

	private void addEngine(int position) {
		BackendServerId id = BackendServerId.of("engine-" + position);
		List<EngineReport.Resident> residents = new ArrayList<>();
		residents.add(new EngineReport.Resident(MODEL, 1, EngineReport.ResidentState.READY));
		EngineReport report = new EngineReport(id, "1", 1, 10, 0, residents, List.of(), FencingToken.ZERO, true,
				EngineReport.Role.MIXED, 10, 0, 5000, 60_000, 9000, 1000, false);
		this.controller.updateBackend(new BackendView(id, SERVICE, DataCentre.of("dc-" + position % 3),
				Optional.of(report), 0, 0, true, false), 0);
	}

	private TrafficRequest request(ModelId model, PriorityClass priority) {
		return new TrafficRequest(RequestId.of("r" + this.requestCount++), ORGANISATION, SERVICE, Optional.of(model),
				priority, 480, 200, this.prefix, true, this.now);
	}

	/**
	 * Offers one request to a long queue and cancels it.
	 * @return the decision, to prevent dead code elimination
	 */
	@Benchmark
	public Object admit() {
		TrafficRequest request = request(ABSENT_MODEL, PriorityClass.BATCH);
		Object decision = this.controller.offer(request, this.now);
		this.controller.cancel(request.id());
		return decision;
	}

	/**
	 * Offers, dispatches and finishes one request.
	 * @return the decisions, to prevent dead code elimination
	 */
	@Benchmark
	public Object route() {
		this.now += 1000;
		this.controller.offer(request(MODEL, PriorityClass.URGENT), this.now);
		List<TrafficAction> actions = this.controller.dispatch(this.now);
		for (TrafficAction action : actions) {
			if (action instanceof TrafficAction.Send send) {
				this.controller.finish(send.attempt(), AttemptOutcome.COMPLETED, this.now);
			}
		}
		return actions;
	}

}
