import { JsonLinesFeed, loadReportSchema } from '@poppypond/backend';
import { formatOwner } from '@poppypond/core';
import type { Clock, Milliseconds, Owner } from '@poppypond/core';
import type { Versioned } from '@poppypond/objects';
import { EngineLoad, PrefixIndex, ServerHealth } from '@poppypond/policy';
import { cacheLineSchema } from './cache-line-schema.js';

/** Settings of `WatchedEngine`. */
export interface WatchSettings {
  /** Prefill rate that is assumed until one is observed. */
  readonly prefillTokensPerMs: number;
  /** Minimum time between two load reports. */
  readonly engineReportPeriodMs: Milliseconds;
}

/** This host's view of an engine: load reports, own dispatches, health and cache hints. */
export class WatchedEngine {
  readonly load: EngineLoad;
  readonly health = new ServerHealth();
  readonly prefixes = new PrefixIndex();
  readonly #loadFeed: JsonLinesFeed;
  readonly #cacheFeed: JsonLinesFeed;

  constructor(
    readonly server: Versioned<'backend-server'>,
    settings: WatchSettings,
    owner: Owner,
    readonly clock: Clock,
    onReport: () => void,
  ) {
    const { name, spec } = server.object;
    this.load = new EngineLoad(name, spec.zone, settings.prefillTokensPerMs);
    const query = new URLSearchParams({
      owner: formatOwner(owner),
      period: String(settings.engineReportPeriodMs),
    }).toString();
    this.#loadFeed = new JsonLinesFeed(
      `${spec.url}/load/stream?${query}`,
      {
        onLine: (line) => {
          const report = loadReportSchema.safeParse(line);
          if (!report.success) return;
          this.load.onReport(report.data, clock.monotonicMs());
          onReport();
        },
        onClosed: () => undefined,
      },
      clock,
    );
    this.#cacheFeed = new JsonLinesFeed(
      `${spec.url}/cache/stream`,
      {
        onLine: (line) => {
          const parsed = cacheLineSchema.safeParse(line);
          if (parsed.success && !this.prefixes.apply(parsed.data)) this.#cacheFeed.restart();
        },
        onClosed: () => {
          this.prefixes.clear();
        },
      },
      clock,
    );
    this.#loadFeed.start();
    this.#cacheFeed.start();
  }

  get name(): string {
    return this.server.object.name;
  }

  get url(): string {
    return this.server.object.spec.url;
  }

  /** Whether the engine can take new requests: recently reported, not leaving, and healthy. */
  canTakeWork(maxReportAgeMs: Milliseconds): boolean {
    const now = this.clock.monotonicMs();
    const { report } = this.load;
    return (
      report !== undefined &&
      !report.isLeaving &&
      now - this.load.reportAtMs <= maxReportAgeMs &&
      this.health.isAvailable(now)
    );
  }

  stop(): void {
    this.#loadFeed.stop();
    this.#cacheFeed.stop();
  }
}
