import type { Milliseconds } from '@poppypond/core';
import { FailureRates } from './failure-rates.js';
import type { AttemptResult, FailureCounts } from './failure-rates.js';
import { ProbationLimits } from './probation-limits.js';
import { SilentConnections } from './silent-connections.js';
import type { SuspicionOptions, Suspicions } from './suspicions.js';

/** A server that has become avoided for its failure rate. */
export interface FailingServer extends FailureCounts {
  readonly serverId: string;
  readonly service: string;
  /** Time for which it is avoided. */
  readonly forMs: Milliseconds;
}

/** What a host states about a suspicion that it reports. */
export interface ReportedSuspicion {
  /** Whether the server is an engine; false if undefined. */
  readonly isEngine?: boolean | undefined;
  /** Whether a served request does not end the suspicion; false if undefined. */
  readonly isFirm?: boolean | undefined;
}

/**
 * Reported as the remaining time of a server on probation with as many outstanding requests as it
 * may have. Shorter than any suspicion, so that such servers are the first to be used if too many
 * are avoided.
 */
const PROBATION_WAIT_MS: Milliseconds = 1;
/**
 * Longest time for which an engine is avoided. In the emulator, with 14 of 100 engines that stop and
 * start again for 6.5 s and alternating loads, callers get 0.014 less of the value with 6 s: an
 * engine that serves half of the time is worth more than none, and is avoided beyond the fault.
 */
const MAX_ENGINE_SUSPICION_MS: Milliseconds = 3000;
/**
 * Streams without a first event that an engine may have when it returns. With one, in the emulator
 * as above, callers get 0.0065 less: a stream takes seconds to succeed, and engines are scarce.
 */
const ENGINE_PROBATION_STREAMS = 4;

/**
 * Which servers are avoided, and for how long: those that failed, those with a high failure rate,
 * and those on probation with as many outstanding requests as they may have. If it is not enabled,
 * only suspicions after single failures count.
 */
export class ServerAvoidance {
  readonly probation = new ProbationLimits();
  readonly silentConnections = new SilentConnections();
  readonly #rates = new FailureRates();
  #onFailing: (failing: FailingServer) => void = () => undefined;
  #onRecovered: (serverId: string) => void = () => undefined;

  /** It is enabled if `suspicions` keeps the history of failures. */
  constructor(readonly suspicions: Suspicions) {}

  /** Whether failure rates and probation apply. */
  get isEnabled(): boolean {
    return this.suspicions.keepsHistory;
  }

  /** Sets the callback for each server that becomes avoided for its failure rate. */
  onFailing(callback: (failing: FailingServer) => void): void {
    this.#onFailing = callback;
  }

  /** Sets the callback for each server whose probation has ended by successes. */
  onRecovered(callback: (serverId: string) => void): void {
    this.#onRecovered = callback;
  }

  /**
   * Remaining time for which a server is avoided; 0 if it is not. `outstanding`: returns the number
   * of requests that it has not answered, as far as this process knows.
   */
  leftMs(serverId: string, outstanding: () => number, nowMs: Milliseconds): Milliseconds {
    const leftMs = this.suspicions.leftMs(serverId, nowMs);
    if (leftMs > 0 || !this.probation.has(serverId)) return leftMs;
    return outstanding() >= this.probation.mostOutstanding(serverId) ? PROBATION_WAIT_MS : 0;
  }

  /** Records a failure of a server; returns for how long it is avoided from now. */
  onFailed(serverId: string, nowMs: Milliseconds, isEngine = false): Milliseconds {
    const forMs = this.suspicions.add(serverId, nowMs, this.#boundOf(isEngine));
    this.#beginProbation(serverId, nowMs, isEngine);
    return forMs;
  }

  /** Records that another host avoids a server for `forMs` from now. */
  onReported(
    serverId: string,
    forMs: Milliseconds,
    nowMs: Milliseconds,
    { isEngine = false, isFirm = false }: ReportedSuspicion = {},
  ): void {
    this.suspicions.avoid(serverId, forMs, nowMs, { ...this.#boundOf(isEngine), isFirm });
    this.#beginProbation(serverId, nowMs, isEngine);
  }

  /**
   * Records the result of an attempt at a server of a plain service. Returns the time for which the
   * server is avoided if it has a high failure rate now and was not avoided. Engines are not judged
   * by their rate: a stream that one of them rejects is placed on another within milliseconds, and
   * in the emulator the lost capacity of the avoided ones costs callers more.
   */
  onResult(result: AttemptResult, nowMs: Milliseconds): Milliseconds | undefined {
    if (!this.isEnabled) return undefined;
    const { serverId, service } = result;
    if (!result.isFailed) this.onServed(serverId, nowMs);
    const counts = this.#rates.record(result, nowMs, this.probation.has(serverId));
    if (!counts) return undefined;
    const isAvoided = this.suspicions.leftMs(serverId, nowMs) > 0;
    const forMs = this.suspicions.add(serverId, nowMs, { isFirm: true });
    if (isAvoided) return undefined;
    // Its requests after its return are judged by themselves.
    this.#rates.forget(serverId);
    this.#beginProbation(serverId, nowMs, false);
    this.#onFailing({ serverId, service, forMs, ...counts });
    return forMs;
  }

  /** Records that a server served a request completely. */
  onServed(serverId: string, nowMs: Milliseconds): void {
    if (!this.isEnabled) return;
    this.suspicions.clear(serverId, nowMs);
    if (this.probation.onServed(serverId, nowMs)) this.#onRecovered(serverId);
  }

  /** Records that a server has started again under the same id. */
  onRestarted(serverId: string, nowMs: Milliseconds, isEngine = false): void {
    if (!this.isEnabled) return this.suspicions.forget(serverId);
    const isKnown = this.probation.has(serverId);
    this.suspicions.onRestarted(serverId, nowMs, this.#boundOf(isEngine));
    this.#rates.forget(serverId);
    if (isKnown || this.suspicions.leftMs(serverId, nowMs) > 0) {
      this.#beginProbation(serverId, nowMs, isEngine);
    }
  }

  /** Forgets what no longer counts. */
  expire(nowMs: Milliseconds): void {
    this.suspicions.expire(nowMs);
    this.probation.expire(nowMs);
    this.#rates.expire(nowMs);
    this.silentConnections.expire(nowMs);
  }

  #boundOf(isEngine: boolean): SuspicionOptions {
    return isEngine && this.isEnabled ? { maxMs: MAX_ENGINE_SUSPICION_MS } : {};
  }

  #beginProbation(serverId: string, nowMs: Milliseconds, isEngine: boolean): void {
    if (!this.isEnabled) return;
    const fromMs = nowMs + this.suspicions.leftMs(serverId, nowMs);
    this.probation.begin(serverId, fromMs, isEngine ? ENGINE_PROBATION_STREAMS : undefined);
  }
}
