import type { Clock, Milliseconds } from '@poppypond/core';
import { passTimeMs } from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';

/** A part of a prompt that one engine prefills. */
export interface PrefillPart {
  readonly streamId: string;
  readonly tokens: number;
  /**
   * Compute time of its tokens and token pairs, without the time of the steps that process them.
   */
  readonly computeMs: Milliseconds;
  /** Whether another engine decodes the answer. */
  readonly isForOtherEngine: boolean;
  readonly onPrefilled: () => void;
}

/** An answer that one engine decodes. */
export interface DecodingStream {
  readonly streamId: string;
  readonly contextTokens: number;
  readonly events: number;
  readonly onEvent: (isLast: boolean) => void;
}

interface RunningPart {
  readonly part: PrefillPart;
  /** Share of the part that is not prefilled yet, from 1 down to 0. */
  left: number;
}

interface RunningStream {
  readonly stream: DecodingStream;
  eventsLeft: number;
}

/** A part is complete when its remaining share is at most this, which absorbs rounding errors. */
const COMPLETION_TOLERANCE = 1e-9;

/**
 * Model of one engine by the published timing formulas. It works in passes over all pending work. A
 * pass has several decode steps while any answer is decoded, with prefill between the steps. Parts
 * for other engines are prefilled before the engine's own prompts, and newer parts before older
 * ones, as observed on the benchmark.
 */
export class EmulatedEngine {
  #parts: RunningPart[] = [];
  /** Prompts whose answers this engine decodes itself and that wait for a slot. */
  #queued: RunningPart[] = [];
  /** Streams that occupy a slot, from the start of their prefill to their end. */
  readonly #slotHolders = new Set<string>();
  #streams: RunningStream[] = [];
  #isInPass = false;
  /** Total time of all passes. */
  busyMs: Milliseconds = 0;
  /** Time that the engine takes, relative to its figures. */
  slowdown = 1;

  constructor(
    readonly clock: Clock,
    readonly figures: EngineFigures,
  ) {}

  /**
   * Queues a part of a prompt for prefill. If this engine also decodes the answer, the part waits
   * for a slot first.
   */
  read(part: PrefillPart): void {
    const running = { part, left: 1 };
    if (part.isForOtherEngine) this.#parts.push(running);
    else this.#queued.push(running);
    this.#fillSlots();
    this.#schedulePass();
  }

  /** Starts to decode an answer whose prompt is prefilled. */
  decode(stream: DecodingStream): void {
    this.#streams.push({ stream, eventsLeft: stream.events });
    this.#schedulePass();
  }

  /** Drops all work of a stream. A pass that has started runs to its end. */
  cancel(streamId: string): void {
    this.#parts = this.#parts.filter(({ part }) => part.streamId !== streamId);
    this.#queued = this.#queued.filter(({ part }) => part.streamId !== streamId);
    this.#streams = this.#streams.filter(({ stream }) => stream.streamId !== streamId);
    this.#releaseSlot(streamId);
  }

  /** Drops all work of all streams. */
  clear(): void {
    this.#parts = [];
    this.#queued = [];
    this.#streams = [];
    this.#slotHolders.clear();
  }

  #fillSlots(): void {
    while (this.#slotHolders.size < this.figures.slots) {
      const next = this.#queued.shift();
      if (!next) return;
      this.#slotHolders.add(next.part.streamId);
      this.#parts.push(next);
    }
  }

  #releaseSlot(streamId: string): void {
    if (!this.#slotHolders.delete(streamId)) return;
    this.#fillSlots();
    this.#schedulePass();
  }

  #schedulePass(): void {
    if (this.#isInPass) return;
    this.#isInPass = true;
    // The zero delay lets all work that arrives at the same time join the same pass.
    this.clock.after(0, () => {
      this.#beginPass();
    });
  }

  #beginPass(): void {
    if (this.#streams.length === 0 && this.#parts.length === 0) {
      this.#isInPass = false;
      return;
    }
    const decodingStreams = [...this.#streams];
    const { prefillMs, finished } = this.#prefillInPass(decodingStreams.length > 0);
    const passMs = (prefillMs + this.#decodeMs(decodingStreams)) * this.slowdown;
    this.busyMs += passMs;
    this.clock.after(passMs, () => {
      this.#endPass(decodingStreams, finished);
    });
  }

  /** Returns the time of a pass without its prefill: one step if no answer is decoded. */
  #decodeMs(decodingStreams: readonly RunningStream[]): Milliseconds {
    if (decodingStreams.length === 0) return this.figures.stepMs;
    const context = decodingStreams.reduce((sum, { stream }) => sum + stream.contextTokens, 0);
    return passTimeMs(this.figures, decodingStreams.length, context);
  }

  /**
   * Adds prefill to the pass that starts. Returns its compute time and the parts that the pass
   * completes.
   */
  #prefillInPass(isDecoding: boolean): {
    readonly prefillMs: Milliseconds;
    readonly finished: readonly RunningPart[];
  } {
    const { prefillTokensPerStep, stepsPerPass } = this.figures;
    let remainingTokens = prefillTokensPerStep * (isDecoding ? stepsPerPass : 1);
    let prefillMs = 0;
    const finished: RunningPart[] = [];
    for (const running of this.#prefillOrder()) {
      if (remainingTokens <= 0) break;
      const { part } = running;
      const share = Math.min(running.left, remainingTokens / Math.max(1, part.tokens));
      running.left -= share;
      remainingTokens -= share * part.tokens;
      prefillMs += share * part.computeMs;
      if (running.left <= COMPLETION_TOLERANCE) finished.push(running);
    }
    return { prefillMs, finished };
  }

  #prefillOrder(): readonly RunningPart[] {
    const newestFirst = [...this.#parts].reverse();
    return [
      ...newestFirst.filter(({ part }) => part.isForOtherEngine),
      ...newestFirst.filter(({ part }) => !part.isForOtherEngine),
    ];
  }

  #endPass(decodingStreams: readonly RunningStream[], finished: readonly RunningPart[]): void {
    const alive = new Set(this.#streams);
    for (const running of decodingStreams) {
      if (!alive.has(running)) continue;
      running.eventsLeft -= 1;
      running.stream.onEvent(running.eventsLeft === 0);
    }
    for (const { stream, eventsLeft } of this.#streams) {
      if (eventsLeft === 0) this.#releaseSlot(stream.streamId);
    }
    this.#streams = this.#streams.filter(({ eventsLeft }) => eventsLeft > 0);
    const activeParts = new Set(this.#parts);
    this.#parts = this.#parts.filter((running) => !finished.includes(running));
    for (const running of finished) if (activeParts.has(running)) running.part.onPrefilled();
    this.#beginPass();
  }
}
