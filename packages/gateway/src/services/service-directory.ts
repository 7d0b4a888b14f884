import type { Clock, Milliseconds } from '@poppypond/core';
import type { Configuration, Versioned } from '@poppypond/objects';
import { pickSome, ServerHealth } from '@poppypond/policy';
import type { RandomSource } from '@poppypond/policy';
import { callHttp } from '@poppypond/web';

const PROBE_PERIOD_MS = 1000;
const PROBE_TIMEOUT_MS = 1000;
const CANDIDATE_COUNT = 2;
const OK = 200;

/** This host's view of one replica of a plain service. */
export interface ServiceReplica {
  readonly server: Versioned<'backend-server'>;
  readonly health: ServerHealth;
  outstanding: number;
  isLeaving: boolean;
}

/** Replicas of plain services, synchronized with the configuration. */
export class ServiceDirectory {
  readonly #replicas = new Map<string, ServiceReplica>();
  #leaving: ReadonlySet<string> = new Set();

  constructor(
    readonly random: RandomSource,
    readonly clock: Clock,
  ) {
    clock.every(PROBE_PERIOD_MS, () => {
      for (const replica of this.#replicas.values()) void this.#probe(replica);
    });
  }

  sync(configuration: Configuration): void {
    const servers = configuration
      .list('backend-server')
      .filter((server) => server.object.spec.kind === 'service');
    const names = new Set(servers.map((server) => server.object.name));
    for (const name of this.#replicas.keys()) if (!names.has(name)) this.#replicas.delete(name);
    for (const server of servers) {
      const { name, spec } = server.object;
      if (this.#replicas.get(name)?.server.object.spec.url === spec.url) continue;
      const health = new ServerHealth();
      this.#replicas.set(name, { server, health, outstanding: 0, isLeaving: false });
    }
  }

  setLeavingServers(names: ReadonlySet<string>): void {
    this.#leaving = names;
  }

  /** Names of the replicas that report themselves that they are leaving. */
  selfReportedLeaving(): readonly string[] {
    return [...this.#replicas.values()]
      .filter((replica) => replica.isLeaving)
      .map((replica) => replica.server.object.name);
  }

  /** Selects the less busy of two random replicas among `members` that can take calls. */
  choose(
    service: string,
    members: ReadonlySet<string>,
    excluded: ReadonlySet<string>,
  ): ServiceReplica | undefined {
    const now = this.clock.monotonicMs();
    const available = [...this.#replicas.values()].filter(({ server, health, isLeaving }) => {
      const { name, spec } = server.object;
      const isCandidate = spec.service === service && members.has(name) && !excluded.has(name);
      return isCandidate && !isLeaving && !this.#leaving.has(name) && health.isAvailable(now);
    });
    const sample = pickSome(available, CANDIDATE_COUNT, this.random);
    return [...sample].sort((a, b) => a.outstanding - b.outstanding)[0];
  }

  /**
   * Returns the time until the first of a service's replicas ends the backoff that it requested, or
   * undefined if none is in backoff.
   */
  remainingBackoffMs(service: string, members: ReadonlySet<string>): Milliseconds | undefined {
    const now = this.clock.monotonicMs();
    const rests = [...this.#replicas.values()]
      .filter(
        ({ server: { object } }) => object.spec.service === service && members.has(object.name),
      )
      .map(({ health }) => health.remainingBackoffMs(now))
      .filter((leftMs) => leftMs > 0);
    return rests.length > 0 ? Math.min(...rests) : undefined;
  }

  /** Queries a replica's `/healthz`, which reports whether it is leaving. */
  async #probe(replica: ServiceReplica): Promise<void> {
    const url = new URL('/healthz', replica.server.object.spec.url).toString();
    const timeoutMs: Milliseconds = PROBE_TIMEOUT_MS;
    const reply = await callHttp({ method: 'GET', url, timeoutMs });
    if (reply.isOk) replica.isLeaving = reply.value.status !== OK;
  }
}
