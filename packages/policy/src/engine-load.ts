import type { Milliseconds } from '@poppypond/core';

/** Priorities range from 0, the lowest, to 9. */
export const PRIORITY_COUNT = 10;

/** Load that an engine reports about itself; out of date by the time it is read. */
export interface LoadReport {
  readonly sequence: number;
  /** Number of the last dispatch of this host that the report includes. */
  readonly seen: number;
  readonly running: number;
  readonly decoding: number;
  readonly waiting: number;
  /** Prompt tokens still to be prefilled, by priority. */
  readonly prefillByPriority: readonly number[];
  readonly heldTokens: number;
  readonly kvTokens: number;
  readonly role: 'any' | 'long' | 'short';
  readonly isLeaving: boolean;
  /** Version of each loaded model, by model name. */
  readonly models: Readonly<Record<string, string>>;
}

/** Work that this host dispatched to an engine. */
export interface DispatchedWork {
  readonly prefillTokens: number;
  readonly heldTokens: number;
  readonly priority: number;
}

/** Estimated state of an engine at the time of a decision. */
export interface EngineState {
  readonly id: string;
  readonly zone: string;
  readonly kvTokens: number;
  readonly heldTokens: number;
  readonly running: number;
  readonly decoding: number;
  readonly prefillByPriority: readonly number[];
  readonly prefillTokens: number;
  readonly prefillTokensPerMs: number;
  readonly role: 'any' | 'long' | 'short';
  readonly models: Readonly<Record<string, string>>;
  readonly reportAgeMs: Milliseconds;
}

interface OutstandingWork extends DispatchedWork {
  readonly dispatchedAtMs: Milliseconds;
  /** Prefill tokens queued at the dispatch up to and including this work. */
  readonly aheadTokens: number;
}

const RATE_SMOOTHING = 0.1;
/**
 * The prefill rate is learned only from samples of at least this size. Smaller ones measure the
 * time of a step more than the rate, so that the busier of two equal engines appears faster and
 * attracts ever more requests.
 */
const MIN_SAMPLE_TOKENS = 8192;

/** Used until the first report arrives. */
const EMPTY_REPORT: LoadReport = {
  sequence: 0,
  seen: 0,
  running: 0,
  decoding: 0,
  waiting: 0,
  prefillByPriority: [],
  heldTokens: 0,
  kvTokens: 0,
  role: 'any',
  isLeaving: false,
  models: {},
};

/**
 * The load of one engine: its last report, corrected by the dispatches of this host that it does
 * not include.
 */
export class EngineLoad {
  #report: LoadReport | undefined;
  #reportAtMs: Milliseconds = 0;
  #lastDispatchNumber = 0;
  #prefillTokensPerMs: number;
  readonly #outstanding = new Map<number, OutstandingWork>();
  #cachedState: EngineState | undefined;

  constructor(
    readonly id: string,
    readonly zone: string,
    initialPrefillTokensPerMs: number,
  ) {
    this.#prefillTokensPerMs = initialPrefillTokensPerMs;
  }

  get report(): LoadReport | undefined {
    return this.#report;
  }

  get reportAtMs(): Milliseconds {
    return this.#reportAtMs;
  }

  onReport(report: LoadReport, nowMs: Milliseconds): void {
    this.#report = report;
    this.#reportAtMs = nowMs;
    this.#cachedState = undefined;
  }

  /**
   * Records work dispatched to the engine. Returns the number of the dispatch, which is sent with
   * the call and comes back in reports as `seen`.
   */
  onDispatch(work: DispatchedWork, nowMs: Milliseconds): number {
    const state = this.state(nowMs);
    const aheadTokens = prefillTokensAtOrAbove(state, work.priority) + work.prefillTokens;
    this.#lastDispatchNumber += 1;
    this.#outstanding.set(this.#lastDispatchNumber, {
      ...work,
      dispatchedAtMs: nowMs,
      aheadTokens,
    });
    this.#cachedState = undefined;
    return this.#lastDispatchNumber;
  }

  /** Updates the prefill rate from the time to the first token. */
  onFirstToken(dispatch: number, nowMs: Milliseconds): void {
    const work = this.#outstanding.get(dispatch);
    if (!work || work.aheadTokens < MIN_SAMPLE_TOKENS) return;
    const rate = work.aheadTokens / Math.max(1, nowMs - work.dispatchedAtMs);
    this.#prefillTokensPerMs += RATE_SMOOTHING * (rate - this.#prefillTokensPerMs);
  }

  onEnd(dispatch: number): void {
    this.#outstanding.delete(dispatch);
    this.#cachedState = undefined;
  }

  /** Number of this host's own attempts that have not ended. */
  get outstandingCount(): number {
    return this.#outstanding.size;
  }

  /** Prompt and output tokens of this host's own attempts that have not ended. */
  get outstandingTokens(): number {
    let tokens = 0;
    for (const work of this.#outstanding.values()) tokens += work.heldTokens;
    return tokens;
  }

  /** Estimated state of the engine now. */
  state(nowMs: Milliseconds): EngineState {
    this.#cachedState ??= this.#computeState();
    return { ...this.#cachedState, reportAgeMs: nowMs - this.#reportAtMs };
  }

  #computeState(): EngineState {
    const report = this.#report ?? EMPTY_REPORT;
    const prefill = Array.from(
      { length: PRIORITY_COUNT },
      (_, priority) => report.prefillByPriority[priority] ?? 0,
    );
    let heldTokens = report.heldTokens;
    let running = report.running + report.waiting;
    for (const [dispatch, work] of this.#outstanding) {
      if (dispatch <= report.seen) continue;
      prefill[work.priority] = (prefill[work.priority] ?? 0) + work.prefillTokens;
      heldTokens += work.heldTokens;
      running += 1;
    }
    return {
      id: this.id,
      zone: this.zone,
      kvTokens: report.kvTokens,
      heldTokens,
      running,
      decoding: report.decoding,
      prefillByPriority: prefill,
      prefillTokens: prefill.reduce((sum, tokens) => sum + tokens, 0),
      prefillTokensPerMs: this.#prefillTokensPerMs,
      role: report.role,
      models: report.models,
      reportAgeMs: 0,
    };
  }
}

/** Prompt tokens that an engine prefills before new work of this priority. */
export function prefillTokensAtOrAbove(state: EngineState, priority: number): number {
  let tokens = 0;
  for (let level = priority; level < PRIORITY_COUNT; level += 1) {
    tokens += state.prefillByPriority[level] ?? 0;
  }
  return tokens;
}
