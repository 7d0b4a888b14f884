import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, FleetView, PriorityDemand } from '@poppypond/fleet';
import type { ActiveConfiguration, EngineFigures } from '@poppypond/routing';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import type { LimitedService } from './limited-servers.js';
import type { PlanRequest } from './plan-request.js';
import { OverloadLog } from './overload-log.js';
import { ServiceAdmission } from './service-admission.js';
import type { ServiceAdmissionState } from './service-admission.js';

/** Dependencies of Admissions. */
export interface AdmissionsParts {
  readonly clock: Clock;
  readonly activeConfiguration: ActiveConfiguration;
  readonly fleet: FleetView;
  readonly log: Log;
  /** Undefined in simulations. */
  readonly metrics?: PrometheusMetrics | undefined;
}

interface KnownService {
  readonly admission: ServiceAdmission;
  readonly log: OverloadLog;
  engines: number;
}

/** Demand and capacity of one service, for gauges. */
export interface AdmissionLevels {
  readonly service: string;
  readonly engines: number;
  readonly demands: readonly PriorityDemand[];
  /** Number of refused callers that are served when they return. */
  readonly expectedRetries: number;
}

const MS_PER_SECOND = 1000;

/** Admission control of the services that need it. */
export class Admissions {
  readonly #byService = new Map<string, KnownService>();

  constructor(readonly parts: AdmissionsParts) {}

  /**
   * Admission of a service's requests; undefined for a service whose requests all have the same
   * priority, and for plain services.
   */
  of(service: string): ServiceAdmission | undefined {
    const { table } = this.parts.activeConfiguration;
    const figures = table?.service(service)?.engine;
    if (!figures || !table.hasDifferentPriorities(service)) return undefined;
    return this.#find(service, figures).admission;
  }

  /**
   * Number of usable engines: without those that failed lately, of a rate-limited one the part of
   * its time that the requests it takes need, and of a slow one the part of the usual speed.
   */
  countEngines(
    admission: ServiceAdmission,
    servers: readonly BackendServer[],
    limited: LimitedService,
  ): number {
    const { nowMs } = limited;
    const trusted = servers.filter(({ id }) => this.parts.fleet.suspicions.leftMs(id, nowMs) <= 0);
    const usable = trusted.length > 0 ? trusted : servers;
    const { speeds } = this.parts.fleet;
    const full = usable.filter((server) => !limited.isLimited(server));
    const fullParts = full.reduce((sum, server) => sum + 1 / speeds.slowdownOf(server, nowMs), 0);
    if (full.length === usable.length) return fullParts;
    const meanMs = admission.meanEngineMs(nowMs);
    return usable
      .filter((server) => limited.isLimited(server))
      .map((server) => Math.min(1, (limited.rateOf([server]) * meanMs) / MS_PER_SECOND))
      .reduce((sum, part) => sum + part, fullParts);
  }

  /** Logs and counts a refusal. */
  onRefused({ service, priority }: PlanRequest, engines: number, nowMs: Milliseconds): void {
    const known = this.#byService.get(service);
    if (!known) return;
    known.engines = engines;
    known.log.onRefused(priority, engines, known.admission.demands(nowMs), nowMs);
    const labels = { service, priority: String(priority) };
    this.parts.metrics?.count('poppypond_admission_refusals_total', labels);
  }

  /** Called for each decision that is no refusal. */
  onDecided({ service }: PlanRequest, engines: number): void {
    const known = this.#byService.get(service);
    if (known) known.engines = engines;
  }

  /** Demand and capacity of all services with admission control; logs the end of an overload. */
  levels(): readonly AdmissionLevels[] {
    const nowMs = this.parts.clock.monotonicMs();
    return [...this.#byService].map(([service, { admission, engines, log }]) => {
      const demands = admission.demands(nowMs);
      log.check(demands, nowMs);
      const expectedRetries = admission.state(nowMs).retries.length;
      return { service, engines, demands, expectedRetries };
    });
  }

  /**
   * State of a service for a standby, with at most `maxRetries` refused callers; undefined without
   * admission control.
   */
  state(service: string, maxRetries: number): ServiceAdmissionState | undefined {
    return this.of(service)?.state(this.parts.clock.monotonicMs(), maxRetries);
  }

  /** Takes over what the first planner of a service knows. */
  restore(service: string, state: ServiceAdmissionState): void {
    this.of(service)?.restore(state, this.parts.clock.monotonicMs());
  }

  #find(service: string, figures: EngineFigures): KnownService {
    const known = this.#byService.get(service);
    if (known) {
      known.admission.figures = figures;
      return known;
    }
    const { table } = this.parts.activeConfiguration;
    for (const other of this.#byService.keys()) {
      if (!table?.service(other)) this.#byService.delete(other);
    }
    const log = new OverloadLog(this.parts.log, service);
    const created = { admission: new ServiceAdmission(figures), log, engines: 0 };
    this.#byService.set(service, created);
    return created;
  }
}
