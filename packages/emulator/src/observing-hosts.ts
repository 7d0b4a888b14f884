import type { Milliseconds } from '@poppypond/core';
import { ServerSpeeds, StreamSpeed } from '@poppypond/fleet';
import type { BackendServer, UsualTimes } from '@poppypond/fleet';
import type { VirtualClock } from './virtual-clock.js';

/** Period at which hosts and the planner exchange reports in heartbeats. */
const HEARTBEAT_PERIOD_MS: Milliseconds = 500;
/** Queries that confirm a slow pace, and the time between them. */
const CONFIRMING_QUERIES = 3;
const CONFIRMING_PERIOD_MS: Milliseconds = 150;
const PLANNER = 'planner';

/** Dependencies of `ObservingHosts`. */
export interface ObservingHostsParts {
  readonly clock: VirtualClock;
  readonly find: (serverId: string) => BackendServer | undefined;
  /** Pace that an engine states now. */
  readonly paceOf: (serverId: string) => number;
}

/** Hosts that observe the speed of engines, each by its own streams, and report it to the planner. */
export class ObservingHosts {
  readonly #hosts: readonly ServerSpeeds[];
  readonly #hostByRequest = new Map<string, number>();

  /** `speeds`: of the planner. */
  constructor(
    readonly parts: ObservingHostsParts,
    readonly speeds: ServerSpeeds,
    count: number,
  ) {
    this.#hosts = Array.from({ length: count }, () => new ServerSpeeds(true));
    if (speeds.isEnabled) this.#scheduleHeartbeats();
  }

  /** Observes the engines of a stream that starts now, on the host of its request. */
  observe(
    requestId: string,
    engineIds: readonly string[],
    usual: UsualTimes,
  ): StreamSpeed | undefined {
    const host = this.#hostOf(requestId);
    const { clock, find } = this.parts;
    const engines = engineIds.flatMap((id) => find(id) ?? []);
    return new StreamSpeed(engines, usual, clock.monotonicMs(), (server, ratio) => {
      host?.observe({ server, ratio }, clock.monotonicMs());
    });
  }

  /** Reads the status of an engine on the host of a request, and again to confirm a slow pace. */
  readStatus(requestId: string, engineId: string, confirmingQueries = CONFIRMING_QUERIES): void {
    const { clock, find, paceOf } = this.parts;
    const ratio = paceOf(engineId);
    const server = find(engineId);
    if (!server) return;
    this.#hostOf(requestId)?.observe({ server, ratio }, clock.monotonicMs());
    if (ratio === 1 || confirmingQueries === 0) return;
    clock.after(CONFIRMING_PERIOD_MS, () => {
      this.readStatus(requestId, engineId, confirmingQueries - 1);
    });
  }

  /** Requests are distributed over the hosts in turn. */
  #hostOf(requestId: string): ServerSpeeds | undefined {
    const known = this.#hostByRequest.get(requestId) ?? this.#hostByRequest.size;
    this.#hostByRequest.set(requestId, known);
    return this.#hosts[known % this.#hosts.length];
  }

  #scheduleHeartbeats(): void {
    this.parts.clock.after(HEARTBEAT_PERIOD_MS, () => {
      this.#exchange();
      this.#scheduleHeartbeats();
    });
  }

  #exchange(): void {
    const { clock, find } = this.parts;
    const nowMs = clock.monotonicMs();
    for (const [index, host] of this.#hosts.entries()) {
      host.takeExpired(nowMs);
      for (const report of host.ownReports(nowMs)) {
        const server = find(report.serverId);
        if (server) this.speeds.mergePeerReport(server, report, `host-${String(index)}`, nowMs);
      }
    }
    this.speeds.takeExpired(nowMs);
    for (const slow of this.speeds.slowServers(nowMs)) {
      const server = find(slow.serverId);
      if (!server) continue;
      const report = { ...slow, isRelayed: true };
      for (const host of this.#hosts) host.mergePeerReport(server, report, PLANNER, nowMs);
    }
  }
}
