import { releaseUnusedMemory } from '@poppypond/core';
import type { CancelTimer, Clock, Milliseconds } from '@poppypond/core';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';
import { BUDGET_USES } from './host-budget.js';
import type { BudgetLevel, HostBudget } from './host-budget.js';

/** Dependencies of `HostMonitor`. */
export interface HostMonitorParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  readonly hostBudget: HostBudget;
  /** Bytes that are held of incomplete messages of other hosts. */
  readonly peerBytes: () => number;
}

/** Period of the comparison with the resident size, and of the report of the link. */
const RESIDENT_PERIOD_MS: Milliseconds = 1000;
/**
 * Unused memory is returned at most this often; it blocks the process for some tens of
 * milliseconds.
 */
const RELEASE_PERIOD_MS: Milliseconds = 3000;
/** The same while the host would refuse requests because of memory that it does not use. */
const URGENT_RELEASE_PERIOD_MS: Milliseconds = 500;
/** Each level is logged at most this often, so that changes back and forth do not fill the log. */
const LOG_PERIOD_MS: Milliseconds = 1000;

/** Compares the budget with the resident size of the process, and reports its level. */
export class HostMonitor {
  readonly #loggedAtMs = new Map<BudgetLevel, Milliseconds>();
  #releasedAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #loggedLevel: BudgetLevel = 'free';
  #isLinkBusy = false;

  constructor(readonly parts: HostMonitorParts) {}

  /** Does nothing if neither the memory nor the link of the host is known. */
  start(): CancelTimer {
    const stopMemory = this.#startMemory();
    const stopLink = this.#startLink();
    return () => {
      stopMemory();
      stopLink();
    };
  }

  #startLink(): CancelTimer {
    const { clock, log, metrics, hostBudget } = this.parts;
    const { link } = hostBudget;
    if (!link) return () => undefined;
    return clock.every(RESIDENT_PERIOD_MS, () => {
      const { isBusy, share } = link;
      metrics.set('poppypond_host_link_share', share);
      if (isBusy === this.#isLinkBusy) return;
      this.#isLinkBusy = isBusy;
      log.warn('host_link', { is_busy: isBusy, share: Number(share.toFixed(2)) });
    });
  }

  #startMemory(): CancelTimer {
    const { clock, hostBudget, peerBytes } = this.parts;
    if (!hostBudget.isEnabled) return () => undefined;
    const ofPeers = hostBudget.reserve('peers');
    const stopLevels = hostBudget.onLevel(() => {
      this.#logLevel();
    });
    hostBudget.onTaken(() => {
      void this.#compare();
    });
    const cancel = clock.every(RESIDENT_PERIOD_MS, () => {
      ofPeers.resize(peerBytes());
      void this.#compare();
      this.#logLevel();
      this.#setGauges();
    });
    return () => {
      stopLevels();
      cancel();
    };
  }

  /**
   * Compares the budget with the resident size. That includes garbage, and memory that the
   * allocator keeps, neither of which a host without load would ever return: it would refuse
   * requests although it holds nothing. Both are returned when the host is full by them.
   */
  async #compare(): Promise<void> {
    const { clock, hostBudget } = this.parts;
    hostBudget.onResident(process.memoryUsage.rss());
    if (!hostBudget.isFullByResident) return;
    const nowMs = clock.monotonicMs();
    const isUrgent = hostBudget.level === 'second';
    const periodMs = isUrgent ? URGENT_RELEASE_PERIOD_MS : RELEASE_PERIOD_MS;
    if (nowMs - this.#releasedAtMs < periodMs) return;
    this.#releasedAtMs = nowMs;
    await releaseUnusedMemory();
    hostBudget.onResident(process.memoryUsage.rss());
  }

  #logLevel(): void {
    const { clock, log, hostBudget } = this.parts;
    const { level, usedBytes, residentBytes } = hostBudget;
    const nowMs = clock.monotonicMs();
    const lastMs = this.#loggedAtMs.get(level) ?? Number.NEGATIVE_INFINITY;
    if (level === this.#loggedLevel || nowMs - lastMs < LOG_PERIOD_MS) return;
    this.#loggedAtMs.set(level, nowMs);
    log.warn('host_budget', {
      level,
      from: this.#loggedLevel,
      used_bytes: Math.round(usedBytes),
      resident_bytes: residentBytes,
      ...Object.fromEntries(BUDGET_USES.map((use) => [`${use}_bytes`, hostBudget.held(use)])),
    });
    this.#loggedLevel = level;
  }

  #setGauges(): void {
    const { metrics, hostBudget } = this.parts;
    const held = BUDGET_USES.map((use) => [use, hostBudget.held(use)] as const);
    metrics.replaceSeries('poppypond_host_held_bytes', new Map(held));
    metrics.set('poppypond_host_used_bytes', hostBudget.usedBytes);
  }
}
