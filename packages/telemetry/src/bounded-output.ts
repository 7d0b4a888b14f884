import type { Clock, Milliseconds } from '@poppypond/core';
import { write as writeDescriptor } from 'node:fs';

/** Writes `text` and calls `done` when the text was written or the write has failed. */
export type OutputWrite = (text: string, done: () => void) => void;

/**
 * Importance of a line. Failed or refused requests and state changes are important and dropped
 * last.
 */
export type LineImportance = 'ordinary' | 'important';

/** Limits on the rate of the output and on its buffer. */
export interface OutputLimits {
  /** Maximum lines per second; more are dropped and counted. */
  readonly linesPerSecond: number;
  /** Maximum characters buffered for a slow reader; more are dropped and counted. */
  readonly bufferedCharacters: number;
}

/** Sufficient for three lines for each of 200 requests per second. */
export const DEFAULT_OUTPUT_LIMITS: OutputLimits = {
  linesPerSecond: 600,
  bufferedCharacters: 512 * 1024,
};

const REPORT_PERIOD_MS: Milliseconds = 1000;
/** Lines are collected for this long, so that those of several requests go out in one write. */
const BATCH_DELAY_MS: Milliseconds = 20;
/** Fraction of each limit that ordinary lines may use. */
const ORDINARY_SHARE = 0.7;
const STANDARD_OUTPUT = 1;

/**
 * Writes to standard output from the thread pool, so that a stalled reader does not block the event
 * loop.
 */
export const writeStandardOutput: OutputWrite = (text, done) => {
  const bytes = Buffer.from(text, 'utf8');
  const writeFrom = (offset: number): void => {
    writeDescriptor(
      STANDARD_OUTPUT,
      bytes,
      offset,
      bytes.length - offset,
      null,
      (error, written) => {
        if (error || offset + written >= bytes.length) done();
        else writeFrom(offset + written);
      },
    );
  };
  writeFrom(0);
};

/** Forwards lines within limits. Never blocks, and uses a bounded amount of memory. */
export class BoundedOutput {
  #pendingLines: string[] = [];
  #pendingCharacters = 0;
  #isWriting = false;
  #isFlushScheduled = false;
  #linesThisPeriod = 0;
  #onIdle: (() => void) | undefined;
  readonly #dropped = new Map<LineImportance, number>();

  constructor(
    readonly clock: Clock,
    readonly write: OutputWrite,
    /**
     * Formats the line that reports how many lines of each importance were dropped in the last
     * second.
     */
    readonly formatDroppedLine: (counts: Readonly<Record<string, number>>) => string,
    readonly limits: OutputLimits = DEFAULT_OUTPUT_LIMITS,
  ) {
    clock.every(REPORT_PERIOD_MS, () => {
      this.#startNextPeriod();
    });
  }

  /** Queues a line, or drops and counts it if a limit is exceeded. */
  writeLine(text: string, importance: LineImportance): void {
    const share = importance === 'ordinary' ? ORDINARY_SHARE : 1;
    const exceedsLimits =
      this.#linesThisPeriod >= this.limits.linesPerSecond * share ||
      this.#pendingCharacters + text.length > this.limits.bufferedCharacters * share;
    if (exceedsLimits) {
      this.#dropped.set(importance, (this.#dropped.get(importance) ?? 0) + 1);
      return;
    }
    this.#linesThisPeriod += 1;
    this.#enqueue(text);
  }

  /** Resolves when all lines are written, or after `timeoutMs` if the reader has stalled. */
  drain(timeoutMs: Milliseconds): Promise<void> {
    this.#flush();
    if (!this.#isWriting) return Promise.resolve();
    return new Promise((resolve) => {
      this.#onIdle = resolve;
      this.clock.after(timeoutMs, resolve);
    });
  }

  #enqueue(text: string): void {
    this.#pendingLines.push(text);
    this.#pendingCharacters += text.length;
    if (this.#isFlushScheduled || this.#isWriting) return;
    this.#isFlushScheduled = true;
    this.clock.after(BATCH_DELAY_MS, () => {
      this.#isFlushScheduled = false;
      this.#flush();
    });
  }

  #flush(): void {
    if (this.#isWriting || this.#pendingLines.length === 0) return;
    const text = this.#pendingLines.join('');
    this.#pendingLines = [];
    this.#isWriting = true;
    this.write(text, () => {
      this.#isWriting = false;
      this.#pendingCharacters -= text.length;
      if (this.#pendingLines.length > 0) this.#flush();
      else this.#onIdle?.();
    });
  }

  #startNextPeriod(): void {
    this.#linesThisPeriod = 0;
    if (this.#dropped.size === 0) return;
    this.#enqueue(this.formatDroppedLine(Object.fromEntries(this.#dropped)));
    this.#dropped.clear();
  }
}
