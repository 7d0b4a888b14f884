import type { RelayBase } from './compose.js';
import { BoundNotices } from './notices/bound-notices.js';
import type { PeerMesh } from './peers/peer-mesh.js';
import type { Planner } from './planning/planner.js';

const MS_PER_SECOND = 1000;

/** Updates the gauges of a relay; see docs/METRICS.md. */
export class RelayGauges {
  readonly #boundNotices: BoundNotices;

  constructor(readonly base: RelayBase) {
    this.#boundNotices = new BoundNotices(base);
  }

  /** `openCount` is the number of requests being served. */
  set(openCount: number, peers: PeerMesh, planner: Planner): void {
    const { freshness, activeConfiguration, keyTrust, metrics, servers } = this.base;
    keyTrust.verdict();
    metrics.set('poppypond_requests_open', openCount);
    metrics.set('poppypond_configuration_version', activeConfiguration.version);
    metrics.set('poppypond_configuration_age_milliseconds', freshness.ageMs());
    const isUnreadable = activeConfiguration.isNewestUnreadable;
    metrics.set('poppypond_configuration_unreadable', isUnreadable ? 1 : 0);
    metrics.set('poppypond_backend_servers', servers.size);
    metrics.set('poppypond_peers', peers.aliveCount);
    this.#setLimits(planner);
    this.#setEvacuations();
    this.#setColdServers();
    this.#setSlowServers();
    this.#setAvoidance();
    this.base.reachability.update();
    this.#boundNotices.check();
    this.#setAdmission(planner);
  }

  #setEvacuations(): void {
    const { evacuations, metrics } = this.base;
    if (!evacuations.isEnabled) return;
    const zones = evacuations.current?.zones.map((zone) => [zone, 1] as const) ?? [];
    metrics.replaceSeries('poppypond_zone_evacuated', new Map(zones));
    metrics.set('poppypond_evacuations_age_milliseconds', evacuations.ageMs);
  }

  #setColdServers(): void {
    const { clock, coldNotices, metrics } = this.base;
    const counts = new Map<string, number>();
    for (const { server } of coldNotices.parts.cold.all(clock.monotonicMs()))
      counts.set(server.service, (counts.get(server.service) ?? 0) + 1);
    metrics.replaceSeries('poppypond_cold_servers', counts);
  }

  #setSlowServers(): void {
    const { clock, fleet, metrics } = this.base;
    const { speeds } = fleet;
    if (!speeds.isEnabled) return;
    const slow = speeds.slowServers(clock.monotonicMs());
    const slowdowns = slow.map(({ serverId, slowdown }) => [serverId, slowdown] as const);
    metrics.replaceSeries('poppypond_server_slowdown', new Map(slowdowns));
  }

  /** Sets the avoided servers, and those on probation, by service. */
  #setAvoidance(): void {
    const { clock, fleet, metrics, servers } = this.base;
    if (!fleet.avoidance.isEnabled) return;
    const nowMs = clock.monotonicMs();
    const services = new Map(servers.listed.servers.map(({ id, service }) => [id, service]));
    const countByService = (ids: readonly string[]) => {
      const counts = new Map<string, number>();
      for (const service of ids.flatMap((id) => services.get(id) ?? []))
        counts.set(service, (counts.get(service) ?? 0) + 1);
      return counts;
    };
    const { probation, suspicions } = fleet.avoidance;
    const avoided = countByService(suspicions.all(nowMs).map(({ serverId }) => serverId));
    metrics.replaceSeries('poppypond_avoided_servers', avoided);
    metrics.replaceSeries('poppypond_probation_servers', countByService(probation.idsAt(nowMs)));
  }

  /** Sets demand and capacity of the services with admission control. */
  #setAdmission(planner: Planner): void {
    const { metrics } = this.base;
    const levels = planner.admissions.levels();
    const demands = levels.flatMap(({ service, demands: known }) => {
      return known.map(({ priority, engineMsPerSecond }) => {
        return [`${service}/${String(priority)}`, engineMsPerSecond / MS_PER_SECOND] as const;
      });
    });
    const engines = levels.map(({ service, engines: count }) => [service, count] as const);
    metrics.replaceSeries('poppypond_admission_demand_engines', new Map(demands));
    const retries = levels.map(
      ({ service, expectedRetries }) => [service, expectedRetries] as const,
    );
    metrics.replaceSeries('poppypond_admission_capacity_engines', new Map(engines));
    metrics.replaceSeries('poppypond_admission_expected_retries', new Map(retries));
  }

  /**
   * Sets the rate limits that servers report now, and the permits that this host granted from them.
   */
  #setLimits(planner: Planner): void {
    const { clock, limits, metrics } = this.base;
    const named = limits.all(clock.monotonicMs()).filter(({ isLifted }) => !isLifted);
    const rates = named.map(({ server, perSecond }) => [server.id, perSecond] as const);
    const granted = named.map(
      ({ server }) => [server.id, planner.recentlyGranted(server)] as const,
    );
    metrics.replaceSeries('poppypond_server_limit_per_second', new Map(rates));
    metrics.replaceSeries('poppypond_server_limit_given', new Map(granted));
  }
}
