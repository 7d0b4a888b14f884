import type { RelayBase } from './compose.js';
import type { PeerMesh } from './peers/peer-mesh.js';
import type { Planner } from './planning/planner.js';

/** Keeps the gauges of one relay at what holds; docs/METRICS.md. */
export class RelayGauges {
  constructor(readonly base: RelayBase) {}

  /** `openCount`: requests that are being served. */
  set(openCount: number, peers: PeerMesh, planner: Planner): void {
    const { freshness, activeConfiguration, keyTrust, measures, servers } = this.base;
    keyTrust.verdict();
    measures.set('poppypond_requests_open', openCount);
    measures.set('poppypond_configuration_version', activeConfiguration.version);
    measures.set('poppypond_configuration_age_milliseconds', freshness.ageMs());
    measures.set('poppypond_backend_servers', servers.size);
    measures.set('poppypond_peers', peers.aliveCount);
    this.#setLimits(planner);
  }

  /** Which servers name limits now, and what this host gave out of them. */
  #setLimits(planner: Planner): void {
    const { clock, limits, measures } = this.base;
    const named = limits.all(clock.monotonicMs()).filter(({ isLifted }) => !isLifted);
    const rates = named.map(({ server, perSecond }) => [server.id, perSecond] as const);
    const granted = named.map(
      ({ server }) => [server.id, planner.recentlyGranted(server)] as const,
    );
    measures.setEach('poppypond_server_limit_per_second', new Map(rates));
    measures.setEach('poppypond_server_limit_given', new Map(granted));
  }
}
