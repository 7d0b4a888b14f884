import { fault } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import type { ReadRequest } from '../server/caller-listener.js';
import { admit } from './admit.js';
import type { CallerAnswer } from './caller-answer.js';
import type { RelayParts } from './relay-parts.js';
import { RelayRun } from './relay-run.js';
import { StartHold } from './start-hold.js';

/** Admits requests or refuses them, and counts those that are being served. */
export class RequestHandler {
  #openCount = 0;
  readonly #startHold: StartHold;

  constructor(readonly parts: RelayParts) {
    this.#startHold = new StartHold(parts.clock);
    parts.pauseDetector.onPause(() => {
      this.#startHold.onPause();
    });
  }

  /** Requests that were admitted and whose answer is not over. */
  get openCount(): number {
    return this.#openCount;
  }

  /** Serves one request; resolves when its answer is over. */
  async serve({ body, answer, arrivedAtMs }: ReadRequest): Promise<void> {
    const { parts } = this;
    parts.pauseDetector.check();
    const { caller } = answer;
    if (!caller) {
      answer.refuse(fault('bad_field', 'the head lacks the identifier of the request'));
      return;
    }
    const admitted = await this.#startHold.admitted(
      () => admit(parts, caller),
      () => answer.isGone,
    );
    if (admitted.isErr) {
      this.#refuse(admitted.error, caller.requestId, answer);
      return;
    }
    this.#openCount += 1;
    try {
      await new RelayRun(parts, caller, admitted.value, body, answer, arrivedAtMs).run();
    } finally {
      this.#openCount -= 1;
    }
  }

  #refuse(reason: Fault, request: string, answer: CallerAnswer): void {
    const { freshness, activeConfiguration: inForce, log, measures } = this.parts;
    answer.refuse(reason);
    measures.count('poppypond_requests_total', { kind: 'none', code: reason.code });
    log.warn('refused', {
      request,
      code: reason.code,
      why: reason.detail,
      configuration: inForce.version,
      configuration_age_ms: Math.round(freshness.ageMs()),
    });
  }
}
