import { fault } from '@poppypond/core';
import type { Fault, ResultName } from '@poppypond/core';
import type { CallerHead } from '../ports.js';
import type { ReceivedRequest } from '../server/caller-listener.js';
import { admit } from './admit.js';
import { isRepeatable } from './attempt-history.js';
import type { CallerResponse } from './caller-response.js';
import { hostStopping } from './final-response.js';
import type { RelayParts } from './relay-parts.js';
import { RequestExecution } from './request-execution.js';
import { StartupGrace } from './startup-grace.js';

/** A request that was not admitted at once waits at least this long for the next check. */
const MIN_COUNTED_WAIT_MS = 5;

const NO_REQUEST_ID = fault('bad_field', 'the request head has no request id');
/** Refusals that the head of a request alone determines. */
const FINAL_AT_HEAD: readonly ResultName[] = ['unknown_route', 'unauthenticated'];

/** Admits or refuses requests, executes admitted ones and counts the open ones. */
export class RequestHandler {
  readonly #executions = new Set<RequestExecution>();
  readonly #startupGrace: StartupGrace;

  constructor(readonly parts: RelayParts) {
    this.#startupGrace = new StartupGrace(parts.clock);
    parts.pauseDetector.onPause(() => {
      this.#startupGrace.onPause();
    });
  }

  /** Admitted requests whose response is not finished. */
  get openCount(): number {
    return this.#executions.size;
  }

  /** Ends all open requests, because the host stops now. */
  endAll(): void {
    for (const execution of this.#executions) execution.endForStop();
  }

  /**
   * Returns why a request is refused whatever its body is, and records that; undefined if it depends
   * on its body, or on what this host has yet to learn.
   */
  refusalAtHead(caller: CallerHead | undefined): Fault | undefined {
    const reason = caller ? this.#finalRefusal(caller) : NO_REQUEST_ID;
    if (reason && caller) this.#record(reason, caller.requestId);
    return reason;
  }

  #finalRefusal(caller: CallerHead): Fault | undefined {
    this.parts.pauseDetector.check();
    const admitted = admit(this.parts, caller);
    const isFinal = admitted.isErr && FINAL_AT_HEAD.includes(admitted.error.code);
    return isFinal ? admitted.error : undefined;
  }

  /** Serves one request; resolves when its response is finished. */
  async serve({ body, answer, arrivedAtMs }: ReceivedRequest): Promise<void> {
    const { parts } = this;
    parts.pauseDetector.check();
    const { caller } = answer;
    if (!caller) {
      answer.refuse(NO_REQUEST_ID);
      return;
    }
    const { clock, metrics } = parts;
    const startedAtMs = clock.monotonicMs();
    const admitted = await this.#startupGrace.waitForAdmission(
      () => admit(parts, caller),
      () => answer.isDisconnected || parts.stop.isOver,
      caller.timeoutMs,
    );
    if (clock.monotonicMs() - startedAtMs >= MIN_COUNTED_WAIT_MS) {
      const end = admitted.isOk ? 'admitted' : 'refused';
      metrics.count('poppypond_startup_waits_total', { end });
    }
    if (admitted.isErr) {
      this.#refuse(admitted.error, caller.requestId, answer);
      return;
    }
    const { route } = admitted.value;
    const timeLimitMs = Math.min(caller.timeoutMs ?? Number.POSITIVE_INFINITY, route.timeoutMs);
    const leftMs = arrivedAtMs + timeLimitMs - clock.monotonicMs();
    if (!parts.stop.accepts(route.name, leftMs, isRepeatable(route))) {
      this.#refuse(hostStopping(), caller.requestId, answer);
      return;
    }
    const execution = new RequestExecution(
      parts,
      caller,
      admitted.value,
      body,
      answer,
      arrivedAtMs,
    );
    this.#executions.add(execution);
    try {
      await execution.run();
    } finally {
      this.#executions.delete(execution);
    }
  }

  #refuse(reason: Fault, request: string, answer: CallerResponse): void {
    answer.refuse(reason);
    this.#record(reason, request);
  }

  #record(reason: Fault, request: string): void {
    const { freshness, activeConfiguration, log, metrics } = this.parts;
    metrics.count('poppypond_requests_total', { kind: 'none', code: reason.code });
    log.warn('refused', {
      request,
      code: reason.code,
      why: reason.detail,
      configuration: activeConfiguration.version,
      configuration_age_ms: Math.round(freshness.ageMs()),
    });
  }
}
