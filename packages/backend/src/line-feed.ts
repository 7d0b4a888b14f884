import { parseJson } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import { openHttp } from '@poppypond/web';

const FIRST_BACK_OFF_MS = 100;
const LONGEST_BACK_OFF_MS = 3000;
const OPEN_TIMEOUT_MS = 3000;
const JITTER_SHARE = 0.5;

/** Called with what a feed brings. */
export interface FeedListener {
  onLine(line: unknown): void;
  /** The feed is cut; it is opened again by itself. */
  onClosed(): void;
}

/** A stream of JSON lines that is opened again, with back-off, whenever it ends. */
export class JsonLinesFeed {
  #abort: AbortController | undefined;
  #isStopped = false;
  #backOffMs: Milliseconds = FIRST_BACK_OFF_MS;

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

  /** Opens the feed anew, e.g. after a gap. */
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
    if (opened.isErr) return this.#openLater();
    let rest = '';
    const response = opened.value;
    response.setEncoding('utf8');
    response.on('data', (chunk: string) => {
      this.#backOffMs = FIRST_BACK_OFF_MS;
      const lines = (rest + chunk).split('\n');
      rest = lines.pop() ?? '';
      for (const line of lines) this.listener.onLine(parseJson(line));
    });
    response.once('error', () => undefined);
    response.once('close', () => {
      this.listener.onClosed();
      this.#openLater();
    });
  }

  #openLater(): void {
    if (this.#isStopped) return;
    const delayMs = this.#backOffMs * (1 - JITTER_SHARE * Math.random());
    this.#backOffMs = Math.min(LONGEST_BACK_OFF_MS, this.#backOffMs * 2);
    this.clock.after(delayMs, () => {
      if (!this.#isStopped) void this.#open();
    });
  }
}
