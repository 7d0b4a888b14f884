import { parseJson } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import { openHttp } from '@poppypond/web';

const INITIAL_BACKOFF_MS = 100;
const MAX_BACKOFF_MS = 3000;
const OPEN_TIMEOUT_MS = 3000;
const JITTER_RATIO = 0.5;

/** Callbacks of a feed. */
export interface FeedListener {
  onLine(line: unknown): void;
  /** The feed was interrupted; it reconnects by itself. */
  onClosed(): void;
}

/**
 * A stream of JSON lines that reconnects, with exponential backoff and jitter, whenever it ends.
 */
export class JsonLinesFeed {
  #abort: AbortController | undefined;
  #isStopped = false;
  #backoffMs: Milliseconds = INITIAL_BACKOFF_MS;

  constructor(
    readonly url: string,
    readonly listener: FeedListener,
    readonly clock: Clock,
  ) {}

  start(): void {
    void this.#open();
  }

  stop(): void {
    this.#isStopped = true;
    this.#abort?.abort();
  }

  /** Reconnects the feed, e.g. after a gap. */
  restart(): void {
    this.#abort?.abort();
  }

  async #open(): Promise<void> {
    const abort = new AbortController();
    this.#abort = abort;
    const opened = await openHttp({
      method: 'GET',
      url: this.url,
      timeoutMs: OPEN_TIMEOUT_MS,
      signal: abort.signal,
    });
    if (opened.isErr) return this.#scheduleReopen();
    let partialLine = '';
    const response = opened.value;
    response.setEncoding('utf8');
    response.on('data', (chunk: string) => {
      this.#backoffMs = INITIAL_BACKOFF_MS;
      const lines = (partialLine + chunk).split('\n');
      partialLine = lines.pop() ?? '';
      for (const line of lines) this.listener.onLine(parseJson(line));
    });
    response.once('error', () => undefined);
    response.once('close', () => {
      this.listener.onClosed();
      this.#scheduleReopen();
    });
  }

  #scheduleReopen(): void {
    if (this.#isStopped) return;
    const delayMs = this.#backoffMs * (1 - JITTER_RATIO * Math.random());
    this.#backoffMs = Math.min(MAX_BACKOFF_MS, this.#backoffMs * 2);
    this.clock.after(delayMs, () => {
      if (!this.#isStopped) void this.#open();
    });
  }
}
