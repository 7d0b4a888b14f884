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

/** Records which servers this host reaches, and logs each change. */
export class Reachability {
  readonly #paths = new ServerPaths();
  #partitionedSinceMs: Milliseconds | undefined;

  constructor(readonly parts: ReachabilityParts) {}

  /** Whether this host seems to be partitioned from all servers. */
  get isPartitioned(): boolean {
    return this.#paths.isPartitioned(this.#nowMs);
  }

  /** Time since this host last connected to a server; infinite if it never has. */
  get connectedAgeMs(): Milliseconds {
    return this.#paths.connectedAgeMs(this.#nowMs);
  }

  /**
   * Whether the path to a server is broken, or may be, as this host seems to be partitioned from all
   * servers.
   */
  isBroken({ id }: BackendServer): boolean {
    return this.#paths.isBroken(id, this.#nowMs);
  }

  /** Whether connections to a server that this host opened itself are lost. */
  isSilent({ id }: BackendServer): boolean {
    return this.#paths.isSilent(id, this.#nowMs);
  }

  /** Whether to try a broken path again; counts as tried if so. */
  takeProbe({ id }: BackendServer): boolean {
    return this.#paths.takeProbe(id, this.#nowMs);
  }

  /** Records that this host has connected to a server. */
  recordConnected({ id }: BackendServer): void {
    this.#paths.recordConnected(id, this.#nowMs);
    this.update();
  }

  /** Records that no connection to a server came up, and no other host says that it is down. */
  recordUnreached({ id }: BackendServer, isSilent: boolean): void {
    this.#paths.recordUnreached(id, this.#nowMs, isSilent);
    this.update();
  }

  /** Records that a peer has connected to a server that this host does not reach. */
  recordBroken({ id, service }: BackendServer, peer: string, isSilent: boolean): void {
    const connectedAgeMs = Math.round(this.connectedAgeMs);
    if (this.#paths.recordBroken(id, this.#nowMs, isSilent)) {
      const line = {
        server: id,
        service,
        reached_by: peer,
        silent: isSilent,
        connected_age_ms: connectedAgeMs,
      };
      this.parts.log.warn('path_broken', line);
    }
    this.update();
  }

  /** Updates the gauges, and logs the begin and the end of the partition. */
  update(): void {
    const { log, metrics } = this.parts;
    const nowMs = this.#nowMs;
    const unreached = this.#paths.unreachedCount(nowMs);
    metrics.set('poppypond_unreached_servers', unreached);
    metrics.set('poppypond_broken_paths', this.#paths.brokenCount(nowMs));
    if (this.isPartitioned === (this.#partitionedSinceMs !== undefined)) return;
    if (this.#partitionedSinceMs === undefined) {
      this.#partitionedSinceMs = nowMs;
      const connectedAgeMs = Math.round(this.connectedAgeMs);
      log.warn('host_partitioned', { unreached, connected_age_ms: connectedAgeMs });
      return;
    }
    log.warn('host_reconnected', { after_ms: Math.round(nowMs - this.#partitionedSinceMs) });
    this.#partitionedSinceMs = undefined;
  }

  get #nowMs(): Milliseconds {
    return this.parts.clock.monotonicMs();
  }
}
