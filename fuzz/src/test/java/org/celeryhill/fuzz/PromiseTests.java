package org.celeryhill.fuzz;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;

import io.reactivex.rxjava3.core.Flowable;
import io.reactivex.rxjava3.disposables.Disposable;
import org.celeryhill.base.AttemptId;
import org.celeryhill.base.KnownRedCondition;
import org.celeryhill.base.ModelId;
import org.celeryhill.base.TimerService;
import org.celeryhill.placement.PlacementPlan;
import org.celeryhill.placement.PlacementPlanner;
import org.celeryhill.placement.PlanInput;
import org.celeryhill.port.EngineCommand;
import org.celeryhill.port.EngineReport;
import org.celeryhill.port.RowKey;
import org.celeryhill.port.RowWrite;
import org.celeryhill.port.TableService;
import org.celeryhill.state.AppliedRevision;
import org.celeryhill.state.CommandLedgerStore;
import org.celeryhill.state.ConfigurationStore;
import org.celeryhill.state.Lease;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.extension.ExtendWith;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Fuzzes each promise with a fixed seed, and checks that the fuzzer detects deliberately
 * broken variants of the code within a limited number of steps.
 */
@ExtendWith(KnownRedCondition.class)
class PromiseTests {

	/** Number of steps of one case. */
	private static final int STEPS_PER_CASE = 120;

	/** Maximum number of steps of one test. */
	private static final long MAX_STEPS = 240_000;

	/**
	 * Maximum number of steps of the placement promise, which is lower since a step can
	 * plan a whole round.
	 */
	private static final long MAX_PLACEMENT_STEPS = 60_000;

	/** Seed of the random steps of all tests. */
	private static final long SEED = 20_261_204;

	/** Guards against a promise that is violated under random steps and faults. */
	@ParameterizedTest
	@EnumSource(value = Promise.class, mode = EnumSource.Mode.EXCLUDE, names = "PLACEMENT")
	void promiseHolds(Promise promise) {
		assertHolds(promise);
	}

	/** Guards against a planner that makes a reachable model unreachable. */
	@Test
	void placementPromiseHolds() {
		assertHolds(Promise.PLACEMENT);
	}

	private static void assertHolds(Promise promise) {
		long maxSteps = (promise == Promise.PLACEMENT) ? MAX_PLACEMENT_STEPS : MAX_STEPS;
		FuzzResult result = new FuzzRunner(promise.simulationFactory(), STEPS_PER_CASE).run(SEED, maxSteps,
				() -> false);
		System.out.println("promise=" + promise + " cases=" + result.cases() + " steps=" + result.steps());
		assertThat(result.failure()).isEmpty();
	}

	/** Guards against a fuzzer that misses commands sent without a ledger entry. */
	@Test
	void catchesSkippedLedgerWrite() {
		assertCaught("skipped ledger write", () -> new MemorySimulation() {
			@Override
			protected boolean recordCommand(Planner planner, EngineCommand command, EngineReport report,
					long requestedNanos) {
				return true;
			}
		});
	}

	/**
	 * Guards against a fuzzer that misses duplicates of a finished load command that
	 * arrive late, after the ledger has stopped counting them.
	 */
	@Test
	void catchesUncountedLateDuplicates() {
		assertCaught("duplicates of finished loads not counted", () -> new MemorySimulation() {
			@Override
			protected Duration copyBound() {
				return Duration.ZERO;
			}
		});
	}

	/**
	 * Guards against a fuzzer that misses two planners that overwrite each other's ledger
	 * entries.
	 */
	@Test
	void catchesUnconditionalLedgerWrite() {
		assertCaught("unconditional ledger write", () -> new MemorySimulation() {
			@Override
			protected TableService tableService() {
				return new LastWriterWinsTable(super.tableService());
			}
		});
	}

	/** Guards against a fuzzer that misses calls sent before their claim. */
	@Test
	void catchesClaimAfterSend() {
		assertCaught("claim after send", () -> new ClaimSimulation() {
			@Override
			protected void handleCall(Daemon daemon, Call call) {
				sendToBackend(call, call.system());
				daemon.claim(call);
			}
		});
	}

	/** Guards against a fuzzer that misses calls sent on a claim of unknown outcome. */
	@Test
	void catchesSendOnUnknownClaim() {
		assertCaught("send on claim of unknown outcome", () -> new ClaimSimulation() {
			@Override
			protected boolean isSentOnUnknownOutcome() {
				return true;
			}
		});
	}

	/** Guards against a fuzzer that misses a daemon that applies a lower revision. */
	@Test
	void catchesAppliedLowerRevision() {
		assertCaught("lower revision applied", () -> new ConfigurationSimulation() {
			@Override
			protected boolean acceptsRevision(AppliedRevision state, long number) {
				return number != state.applied();
			}
		});
	}

	/**
	 * Guards against a fuzzer that misses two accepted proposals with the same expected
	 * head.
	 */
	@Test
	void catchesUnconditionalHeadWrite() {
		assertCaught("unconditional head write", () -> new ConfigurationSimulation() {
			@Override
			protected TableService tableService() {
				return new LastWriterWinsTable(super.tableService());
			}
		});
	}

	/** Guards against a fuzzer that misses leases measured by the wall clock. */
	@Test
	void catchesWallClockLease() {
		assertCaught("lease measured by wall clock", () -> new LeaseSimulation() {
			@Override
			protected TimerService leaseTimer(TimerService clock) {
				return new WallClockTimer(clock);
			}
		});
	}

	/**
	 * Guards against a fuzzer that misses a holder that uses its lease up to its full
	 * duration, without the margin for clock rates.
	 */
	@Test
	void catchesLeaseUsedForFullDuration() {
		assertCaught("lease used for its full duration", () -> new LeaseSimulation() {
			@Override
			protected boolean isLeaseUsed(Lease lease, long nowNanos) {
				return nowNanos - lease.renewedNanos() < lease.duration().toNanos();
			}
		});
	}

	/** Guards against a fuzzer that misses unload commands that are not recorded. */
	@Test
	void catchesUnrecordedRemoval() {
		assertCaught("removal sent without a record", () -> new PlacementSimulation() {
			@Override
			protected CommandLedgerStore.RecordResult recordRemoval(CommandLedgerStore ledger, Lease lease,
					EngineCommand command, EngineReport report, ModelId kept, EngineReport keeper,
					long requestedNanos) {
				return new CommandLedgerStore.Recorded(command);
			}

			// The exception of the known failure in KNOWN-RED.txt must not count as
			// detecting this variant.
			@Override
			protected PlacementPlan planRound(PlacementPlanner planner, PlanInput input) {
				return planOrEmptyOnNullPointer(() -> super.planRound(planner, input));
			}
		});
	}

	/**
	 * Guards against a fuzzer that misses two planners that each unload a replica in the
	 * belief that the other one stays.
	 */
	@Test
	void catchesRemovalWithoutKeeper() {
		assertCaught("removal without a fence on the keeper", () -> new PlacementSimulation() {
			@Override
			protected CommandLedgerStore.RecordResult recordRemoval(CommandLedgerStore ledger, Lease lease,
					EngineCommand command, EngineReport report, ModelId kept, EngineReport keeper,
					long requestedNanos) {
				return ledger.record(lease, command, report, requestedNanos);
			}

			// The exception of the known failure in KNOWN-RED.txt must not count as
			// detecting this variant.
			@Override
			protected PlacementPlan planRound(PlacementPlanner planner, PlanInput input) {
				return planOrEmptyOnNullPointer(() -> super.planRound(planner, input));
			}
		});
	}

	/**
	 * Guards against a fuzzer that misses a proposal that is accepted after the operator
	 * was told that it was refused.
	 */
	@Test
	void catchesUnknownOutcomeTreatedAsRefusal() {
		assertCaught("unknown outcome of a proposal reported as refused", () -> new ConfigurationSimulation() {
			@Override
			protected boolean isFinallyRefused(ConfigurationStore.ProposeResult result) {
				return result instanceof ConfigurationStore.OutcomeUnknown || super.isFinallyRefused(result);
			}
		});
	}

	private static PlacementPlan planOrEmptyOnNullPointer(Supplier<PlacementPlan> plan) {
		try {
			return plan.get();
		}
		catch (NullPointerException ex) {
			return new PlacementPlan(List.of(), List.of(), Map.of());
		}
	}

	private static void assertCaught(String variant, Supplier<Simulation> simulations) {
		FuzzResult result = new FuzzRunner(simulations, STEPS_PER_CASE).run(SEED, MAX_STEPS, () -> false);
		System.out.println("variant=\"" + variant + "\" cases=" + result.cases() + " steps=" + result.steps()
				+ " trace=" + result.failure().map((failure) -> failure.trace().size()).orElse(-1) + " message="
				+ result.failure().map(FuzzResult.Failure::message).orElse("not caught"));
		assertThat(result.failure()).as(variant).isPresent();
		assertThat(result.failure().get().message()).as(variant).doesNotStartWith("exception");
		Optional<FuzzResult.Failure> replayed = new FuzzRunner(simulations, STEPS_PER_CASE)
			.replay(result.failure().get().trace());
		assertThat(replayed).as("replay of the shrunk trace").isPresent();
	}

	/** Table service that ignores the expected versions of writes. */
	private static final class LastWriterWinsTable implements TableService {

		/** Table service that executes the calls. */
		private final TableService table;

		private LastWriterWinsTable(TableService table) {
			this.table = table;
		}

		@Override
		public ReadResult read(RowKey key) {
			return this.table.read(key);
		}

		@Override
		public ScanResult scan(String name, String keyPrefix) {
			return this.table.scan(name, keyPrefix);
		}

		@Override
		public WriteResult write(AttemptId attempt, List<RowWrite> writes) {
			List<RowWrite> forced = writes.stream()
				.map((write) -> new RowWrite(write.key(), version(write), write.value()))
				.toList();
			return this.table.write(attempt, forced);
		}

		private long version(RowWrite write) {
			return (this.table.read(write.key()) instanceof Found found) ? found.row().version()
					: write.expectedVersion();
		}

	}

	/** Timer whose monotonic time follows the wall clock, including its steps. */
	private static final class WallClockTimer implements TimerService {

		/** Clock that gives the wall-clock time. */
		private final TimerService clock;

		private WallClockTimer(TimerService clock) {
			this.clock = clock;
		}

		@Override
		public long nanoTime() {
			return Duration.between(Instant.EPOCH, this.clock.instant()).toNanos();
		}

		@Override
		public Instant instant() {
			return this.clock.instant();
		}

		@Override
		public Flowable<Long> ticks(Duration period) {
			return this.clock.ticks(period);
		}

		@Override
		public Disposable after(Duration delay, Runnable task) {
			return this.clock.after(delay, task);
		}

	}

}
