import type { Clock, Milliseconds } from '@poppypond/core';
import { passTimeMs } from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';

/** A part of a prompt that one engine reads. */
export interface PrefillPart {
  readonly streamId: string;
  readonly tokens: number;
  /** Time that its tokens and pairs take by themselves; each step costs its own time besides. */
  readonly computeMs: Milliseconds;
  /** Whether another engine writes the answer. */
  readonly isForOtherEngine: boolean;
  readonly onPrefilled: () => void;
}

/** An answer that one engine writes. */
export interface DecodingStream {
  readonly streamId: string;
  readonly contextTokens: number;
  readonly events: number;
  readonly onEvent: (isLast: boolean) => void;
}

interface RunningPart {
  readonly part: PrefillPart;
  /** Share of the part that is not read yet, from 1 down to 0. */
  left: number;
}

interface RunningStream {
  readonly stream: DecodingStream;
  eventsLeft: number;
}

/** Less than this share of a part left counts as nothing left. */
const COMPLETION_TOLERANCE = 1e-9;

/**
 * One model engine by its published arithmetic: passes over all that wait, each of several steps
 * while anyone writes, with reading between the steps. Parts for other engines are read before an
 * engine's own prompts, and the newest part before older ones, as bench days show.
 */
export class EmulatedEngine {
  #parts: RunningPart[] = [];
  /** Prompts of its own that wait for a place. */
  #queued: RunningPart[] = [];
  /** Answers that have a place, from the reading of their prompts to their ends. */
  readonly #slotHolders = new Set<string>();
  #streams: RunningStream[] = [];
  #isInPass = false;
  /** Time in which it worked, for the account of a day. */
  busyMs: Milliseconds = 0;

  constructor(
    readonly clock: Clock,
    readonly figures: EngineFigures,
  ) {}

  /** Takes in a part of a prompt; one of its own waits for a place. */
  read(part: PrefillPart): void {
    const running = { part, left: 1 };
    if (part.isForOtherEngine) this.#parts.push(running);
    else this.#queued.push(running);
    this.#fillSlots();
    this.#schedulePass();
  }

  /** Begins an answer whose prompt is read. */
  decode(stream: DecodingStream): void {
    this.#streams.push({ stream, eventsLeft: stream.events });
    this.#schedulePass();
  }

  /** Drops all that belongs to an answer; a pass that has begun goes on to its end. */
  cancel(streamId: string): void {
    this.#parts = this.#parts.filter(({ part }) => part.streamId !== streamId);
    this.#queued = this.#queued.filter(({ part }) => part.streamId !== streamId);
    this.#streams = this.#streams.filter(({ stream }) => stream.streamId !== streamId);
    this.#releaseSlot(streamId);
  }

  /** Drops everything. */
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
    // What arrives in the same instant takes part in the same pass.
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
    const passMs = prefillMs + this.#decodeMs(decodingStreams);
    this.busyMs += passMs;
    this.clock.after(passMs, () => {
      this.#endPass(decodingStreams, finished);
    });
  }

  /** Time of a pass beside its reading: one step where nothing writes. */
  #decodeMs(decodingStreams: readonly RunningStream[]): Milliseconds {
    if (decodingStreams.length === 0) return this.figures.stepMs;
    const context = decodingStreams.reduce((sum, { stream }) => sum + stream.contextTokens, 0);
    return passTimeMs(this.figures, decodingStreams.length, context);
  }

  /** Takes reading into the pass that begins: its time, and the parts that are read after it. */
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
