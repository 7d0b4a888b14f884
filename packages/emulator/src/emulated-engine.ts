import type { Clock, Milliseconds } from '@poppypond/core';
import { passTimeMs } from '@poppypond/fleet';
import type { EngineFigures } from '@poppypond/routing';

/** A part of a prompt that one engine reads. */
export interface ReadPart {
  readonly streamId: string;
  readonly tokens: number;
  /** Time that its tokens and pairs take by themselves; each step costs its own time besides. */
  readonly readMs: Milliseconds;
  /** Whether another engine writes the answer. */
  readonly isHelper: boolean;
  readonly onRead: () => void;
}

/** An answer that one engine writes. */
export interface WrittenStream {
  readonly streamId: string;
  readonly contextTokens: number;
  readonly events: number;
  readonly onEvent: (isLast: boolean) => void;
}

interface RunningPart {
  readonly part: ReadPart;
  /** Share of the part that is not read yet, from 1 down to 0. */
  left: number;
}

interface RunningStream {
  readonly stream: WrittenStream;
  eventsLeft: number;
}

/** Less than this share of a part left counts as nothing left. */
const NOTHING_LEFT = 1e-9;

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
  readonly #placed = new Set<string>();
  #streams: RunningStream[] = [];
  #isInPass = false;
  /** Time in which it worked, for the account of a day. */
  busyMs: Milliseconds = 0;

  constructor(
    readonly clock: Clock,
    readonly figures: EngineFigures,
  ) {}

  /** Takes in a part of a prompt; one of its own waits for a place. */
  read(part: ReadPart): void {
    const running = { part, left: 1 };
    if (part.isHelper) this.#parts.push(running);
    else this.#queued.push(running);
    this.#fillPlaces();
    this.#wake();
  }

  /** Begins an answer whose prompt is read. */
  write(stream: WrittenStream): void {
    this.#streams.push({ stream, eventsLeft: stream.events });
    this.#wake();
  }

  /** Drops all that belongs to an answer; a pass that has begun goes on to its end. */
  cancel(streamId: string): void {
    this.#parts = this.#parts.filter(({ part }) => part.streamId !== streamId);
    this.#queued = this.#queued.filter(({ part }) => part.streamId !== streamId);
    this.#streams = this.#streams.filter(({ stream }) => stream.streamId !== streamId);
    this.#leavePlace(streamId);
  }

  /** Drops everything. */
  clear(): void {
    this.#parts = [];
    this.#queued = [];
    this.#streams = [];
    this.#placed.clear();
  }

  #fillPlaces(): void {
    while (this.#placed.size < this.figures.slots) {
      const next = this.#queued.shift();
      if (!next) return;
      this.#placed.add(next.part.streamId);
      this.#parts.push(next);
    }
  }

  #leavePlace(streamId: string): void {
    if (!this.#placed.delete(streamId)) return;
    this.#fillPlaces();
    this.#wake();
  }

  #wake(): void {
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
    const writing = [...this.#streams];
    const { readMs, finished } = this.#readInPass(writing.length > 0);
    const passMs = readMs + this.#stepsMs(writing);
    this.busyMs += passMs;
    this.clock.after(passMs, () => {
      this.#endPass(writing, finished);
    });
  }

  /** Time of a pass beside its reading: one step where nothing writes. */
  #stepsMs(writing: readonly RunningStream[]): Milliseconds {
    if (writing.length === 0) return this.figures.stepMs;
    const context = writing.reduce((sum, { stream }) => sum + stream.contextTokens, 0);
    return passTimeMs(this.figures, writing.length, context);
  }

  /** Takes reading into the pass that begins: its time, and the parts that are read after it. */
  #readInPass(hasWriters: boolean): {
    readonly readMs: Milliseconds;
    readonly finished: readonly RunningPart[];
  } {
    const { prefillTokensPerStep: readTokensPerStep, stepsPerPass } = this.figures;
    let tokensLeft = readTokensPerStep * (hasWriters ? stepsPerPass : 1);
    let readMs = 0;
    const finished: RunningPart[] = [];
    for (const running of this.#readOrder()) {
      if (tokensLeft <= 0) break;
      const { part } = running;
      const share = Math.min(running.left, tokensLeft / Math.max(1, part.tokens));
      running.left -= share;
      tokensLeft -= share * part.tokens;
      readMs += share * part.readMs;
      if (running.left <= NOTHING_LEFT) finished.push(running);
    }
    return { readMs, finished };
  }

  #readOrder(): readonly RunningPart[] {
    const newestFirst = [...this.#parts].reverse();
    return [
      ...newestFirst.filter(({ part }) => part.isHelper),
      ...newestFirst.filter(({ part }) => !part.isHelper),
    ];
  }

  #endPass(writing: readonly RunningStream[], finished: readonly RunningPart[]): void {
    const alive = new Set(this.#streams);
    for (const running of writing) {
      if (!alive.has(running)) continue;
      running.eventsLeft -= 1;
      running.stream.onEvent(running.eventsLeft === 0);
    }
    for (const { stream, eventsLeft } of this.#streams) {
      if (eventsLeft === 0) this.#leavePlace(stream.streamId);
    }
    this.#streams = this.#streams.filter(({ eventsLeft }) => eventsLeft > 0);
    const unread = new Set(this.#parts);
    this.#parts = this.#parts.filter((running) => !finished.includes(running));
    for (const running of finished) if (unread.has(running)) running.part.onRead();
    this.#beginPass();
  }
}
