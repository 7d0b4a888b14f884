import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { EngineModelSettings } from './model-settings.js';

/** How a sequence ended. */
export type SequenceEnd = 'done' | 'cancelled' | 'time_limit';

/** A sequence to run in the batch. */
export interface Sequence {
  readonly key: string;
  readonly priority: number;
  /** Prompt tokens to prefill: those that are neither cached nor imported. */
  readonly prefillTokens: number;
  /** Index of the first token to generate. */
  readonly firstToken: number;
  /** Index one past the last token to generate. */
  readonly endToken: number;
  readonly deadlineMs: Milliseconds;
  /** Time before prefill starts, in which the KV cache is imported. */
  readonly startDelayMs: Milliseconds;
  /** Called for each generated token, in order. */
  readonly onToken: (index: number) => void;
  readonly onEnd: (end: SequenceEnd) => void;
}

interface RunningSequence {
  readonly sequence: Sequence;
  readonly arrival: number;
  readonly readyAtMs: Milliseconds;
  prefilled: number;
  nextToken: number;
}

interface Step {
  readonly decoding: readonly RunningSequence[];
  readonly prefilling: readonly { readonly running: RunningSequence; readonly tokens: number }[];
  readonly prefillTokens: number;
}

/**
 * Models continuous batching with chunked prefill. Each step decodes one token of every prefilled
 * sequence and prefills the others up to the chunk size, by priority, then by arrival.
 */
export class Batch {
  readonly #running = new Map<string, RunningSequence>();
  #arrivals = 0;
  #cancelTimer: CancelTimer | undefined;
  #nextStepAtMs: Milliseconds = 0;
  #pausedUntilMs: Milliseconds = 0;
  /** Fault switch: multiplies the duration of each step. */
  slowdown = 1;

  constructor(
    readonly settings: EngineModelSettings,
    readonly clock: Clock,
  ) {}

  get size(): number {
    return this.#running.size;
  }

  /** Adds the prompt tokens that are still to be prefilled to `byPriority`. */
  addPendingPrefill(byPriority: number[]): void {
    for (const { sequence, prefilled } of this.#running.values()) {
      const tokens = sequence.prefillTokens - prefilled;
      byPriority[sequence.priority] = (byPriority[sequence.priority] ?? 0) + tokens;
    }
  }

  get decodingCount(): number {
    let count = 0;
    for (const running of this.#running.values()) {
      if (running.prefilled >= running.sequence.prefillTokens) count += 1;
    }
    return count;
  }

  add(sequence: Sequence): void {
    this.#arrivals += 1;
    this.#running.set(sequence.key, {
      sequence,
      arrival: this.#arrivals,
      readyAtMs: this.clock.monotonicMs() + sequence.startDelayMs,
      prefilled: 0,
      nextToken: sequence.firstToken,
    });
    this.#startStepping();
  }

  cancel(key: string): boolean {
    const running = this.#running.get(key);
    if (!running) return false;
    this.#end(running, 'cancelled');
    return true;
  }

  /** Fault switch: steps that are planned from now on end after `durationMs` at the earliest. */
  pause(durationMs: Milliseconds): void {
    this.#pausedUntilMs = this.clock.monotonicMs() + durationMs;
  }

  stop(): void {
    this.#cancelTimer?.();
    this.#cancelTimer = undefined;
  }

  #startStepping(): void {
    if (this.#cancelTimer || this.#running.size === 0) return;
    this.#nextStepAtMs = this.clock.monotonicMs();
    this.#schedule();
  }

  #schedule(): void {
    const step = this.#plan();
    const durationMs =
      this.slowdown *
      (this.settings.stepBaseMs +
        step.decoding.length * this.settings.decodeMs +
        step.prefillTokens * this.settings.prefillMs);
    const now = this.clock.monotonicMs();
    this.#nextStepAtMs = Math.max(this.#nextStepAtMs + durationMs, this.#pausedUntilMs);
    this.#cancelTimer = this.clock.after(Math.max(0, this.#nextStepAtMs - now), () => {
      this.#cancelTimer = undefined;
      this.#finish(step);
    });
  }

  #plan(): Step {
    const now = this.clock.monotonicMs();
    const decoding: RunningSequence[] = [];
    const waiting: RunningSequence[] = [];
    for (const running of this.#running.values()) {
      if (running.readyAtMs > now) continue;
      if (running.prefilled >= running.sequence.prefillTokens) decoding.push(running);
      else waiting.push(running);
    }
    waiting.sort((a, b) => b.sequence.priority - a.sequence.priority || a.arrival - b.arrival);
    let budget = this.settings.chunkTokens;
    const prefilling: { running: RunningSequence; tokens: number }[] = [];
    for (const running of waiting) {
      if (budget === 0) break;
      const tokens = Math.min(budget, running.sequence.prefillTokens - running.prefilled);
      prefilling.push({ running, tokens });
      budget -= tokens;
    }
    return { decoding, prefilling, prefillTokens: this.settings.chunkTokens - budget };
  }

  #finish(step: Step): void {
    for (const running of step.decoding) this.#emit(running);
    for (const { running, tokens } of step.prefilling) {
      running.prefilled += tokens;
      if (running.prefilled >= running.sequence.prefillTokens) this.#emit(running);
    }
    const now = this.clock.monotonicMs();
    for (const running of [...this.#running.values()]) {
      if (now >= running.sequence.deadlineMs) this.#end(running, 'time_limit');
    }
    if (this.#running.size > 0) this.#schedule();
  }

  #emit(running: RunningSequence): void {
    const { sequence } = running;
    if (!this.#running.has(sequence.key)) return;
    if (running.nextToken < sequence.endToken) {
      sequence.onToken(running.nextToken);
      running.nextToken += 1;
    }
    if (running.nextToken >= sequence.endToken) this.#end(running, 'done');
  }

  #end(running: RunningSequence, end: SequenceEnd): void {
    if (!this.#running.delete(running.sequence.key)) return;
    running.sequence.onEnd(end);
    if (this.#running.size === 0) this.stop();
  }
}
