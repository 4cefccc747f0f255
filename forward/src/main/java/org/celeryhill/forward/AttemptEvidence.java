package org.celeryhill.forward;

/**
 * What an attempt shows about the prompt of its request: whether it ends engines. Must be
 * used on the event loop.
 */
final class AttemptEvidence {

	private final ForwardCall call;

	private final long sentNanos;

	private boolean isServedRecorded;

	AttemptEvidence(ForwardCall call, long sentNanos) {
		this.call = call;
		this.sentNanos = sentNanos;
	}

	// Records once that the engine process has survived the request.
	void recordServed() {
		if (!this.isServedRecorded) {
			this.isServedRecorded = true;
			this.call.forwarder.promptGuard().recordServed(this.call.traits, this.sentNanos);
		}
	}

	// Records that the response of an engine process broke.
	void recordBroken(BackendClient.PoolKey process, boolean isRunConfirmed) {
		this.call.forwarder.promptGuard()
			.recordBroken(process, new CrashDetector.BrokenRequest(this.call.key, this.call.traits.all(),
					this.call.executionCount > 0, isRunConfirmed));
	}

}
