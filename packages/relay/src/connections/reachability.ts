import type { Clock, Milliseconds } from '@poppypond/core';
import { ServerPaths } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';

/** Dependencies of `Reachability`. */
export interface ReachabilityParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
}

/** Records which servers this host reaches, and logs when it seems to be cut off from all. */
export class Reachability {
  readonly paths = new ServerPaths();
  #isolatedSinceMs: Milliseconds | undefined;

  constructor(readonly parts: ReachabilityParts) {}

  /** Whether this host seems to be partitioned from all servers. */
  get isIsolated(): boolean {
    return this.paths.isIsolated(this.parts.clock.monotonicMs());
  }

  /** Records that this host has connected to a server. */
  recordConnected(): void {
    this.paths.recordConnected(this.parts.clock.monotonicMs());
    this.update();
  }

  /** Records that a connection to a server did not come up. */
  recordUnreached({ id }: BackendServer): void {
    this.paths.recordUnreached(id, this.parts.clock.monotonicMs());
    this.update();
  }

  /** Updates the gauge, and logs the begin and the end of the isolation. */
  update(): void {
    const { clock, log, metrics } = this.parts;
    const nowMs = clock.monotonicMs();
    const unreached = this.paths.unreachedCount(nowMs);
    metrics.set('poppypond_unreached_servers', unreached);
    if (this.isIsolated === (this.#isolatedSinceMs !== undefined)) return;
    if (this.#isolatedSinceMs === undefined) {
      this.#isolatedSinceMs = nowMs;
      const connectedAgeMs = Math.round(this.paths.connectedAgeMs(nowMs));
      log.warn('host_isolated', { unreached, connected_age_ms: connectedAgeMs });
      return;
    }
    log.warn('host_reconnected', { after_ms: Math.round(nowMs - this.#isolatedSinceMs) });
    this.#isolatedSinceMs = undefined;
  }
}
