import type { ServerResponse } from 'node:http';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { FakeEngine } from './engine.js';
import type { CacheEvent } from './kv-memory.js';

interface Subscriber {
  readonly response: ServerResponse;
  readonly owner: string;
  /** Receives every n-th report. */
  readonly every: number;
}

/**
 * Streams load reports and cache events as lines of JSON. Load reports are sent with a lag, and
 * cache events can be delayed or dropped by the fault switches.
 */
export class EngineFeeds {
  readonly #loadSubscribers = new Set<Subscriber>();
  readonly #cacheSubscribers = new Set<ServerResponse>();
  #reportSequence = 0;
  #cacheEvents = 0;

  constructor(
    readonly engine: FakeEngine,
    readonly clock: Clock,
  ) {
    clock.every(engine.settings.reportPeriodMs, () => {
      this.#report();
    });
  }

  /** The current load. `seen` is the highest dispatch number of `owner` that it includes. */
  getCurrentLoad(owner: string): Readonly<Record<string, unknown>> {
    const { engine } = this;
    return {
      sequence: this.#reportSequence,
      seen: engine.seenDispatches.get(owner) ?? 0,
      running: engine.batch.size,
      decoding: engine.batch.decodingCount,
      waiting: engine.waitingCount,
      prefillByPriority: engine.pendingPrefill(),
      heldTokens: engine.memory.heldTokens,
      kvTokens: engine.settings.kvTokens,
      role: engine.role,
      isLeaving: engine.faults.leaving,
      models: Object.fromEntries(engine.models),
    };
  }

  /** Sends a host every n-th report: about one each `periodMs`, at most one each report period. */
  subscribeLoad(response: ServerResponse, owner: string, periodMs: Milliseconds): void {
    this.#openStream(response);
    const every = Math.max(1, Math.round(periodMs / this.engine.settings.reportPeriodMs));
    const subscriber = { response, owner, every };
    this.#loadSubscribers.add(subscriber);
    response.write(`${JSON.stringify(this.getCurrentLoad(owner))}\n`);
    response.once('close', () => this.#loadSubscribers.delete(subscriber));
  }

  subscribeCache(response: ServerResponse): void {
    this.#openStream(response);
    this.#cacheSubscribers.add(response);
    const { memory } = this.engine;
    const snapshot = { sequence: memory.eventSequence, all: memory.cachedBlocks };
    response.write(`${JSON.stringify(snapshot)}\n`);
    response.once('close', () => this.#cacheSubscribers.delete(response));
  }

  publishCacheEvent(event: CacheEvent): void {
    const { dropCacheEventEvery, cacheEventDelayMs } = this.engine.faults;
    this.#cacheEvents += 1;
    if (dropCacheEventEvery > 0 && this.#cacheEvents % dropCacheEventEvery === 0) return;
    if (this.#cacheSubscribers.size === 0) return;
    const line = `${JSON.stringify(event)}\n`;
    const send = () => {
      for (const response of this.#cacheSubscribers) response.write(line);
    };
    if (cacheEventDelayMs > 0) this.clock.after(cacheEventDelayMs, send);
    else send();
  }

  #openStream(response: ServerResponse): void {
    response.writeHead(200, { 'content-type': 'application/x-ndjson' });
    response.flushHeaders();
  }

  #report(): void {
    this.#reportSequence += 1;
    for (const { response, owner, every } of this.#loadSubscribers) {
      if (this.#reportSequence % every !== 0) continue;
      const line = `${JSON.stringify(this.getCurrentLoad(owner))}\n`;
      this.clock.after(this.engine.settings.reportLagMs, () => {
        response.write(line);
      });
    }
  }
}
