import type { Milliseconds } from '@poppypond/core';
import { MAX_SPEED_AGE_MS } from './speed-samples.js';

/** What one host reports about a server. */
export interface SpeedReport {
  readonly serverId: string;
  /** Unix time at which the incarnation started; undefined if it is not known. */
  readonly startedAtMs: Milliseconds | undefined;
  /** From 1 to `MAX_SLOWDOWN`. */
  readonly slowdown: number;
  /** Time of the newest observation behind it, on this process's clock. */
  readonly observedAtMs: Milliseconds;
  /**
   * Whether a coordinator repeats what others report. Such reports count only where no host's own
   * report is known, and are not repeated again.
   */
  readonly isRelayed: boolean;
}

/** Reports that are kept of each server; beyond it the oldest one is dropped. */
const MAX_REPORTERS = 8;
/** Reports that are this much older than the newest one are outdated by it. */
const OUTDATED_AFTER_MS: Milliseconds = 1500;

/** The lower median: of two values the smaller one counts. */
export function lowerMedian(values: readonly number[]): number | undefined {
  const ascending = [...values].sort((one, two) => one - two);
  return ascending[Math.floor((ascending.length - 1) / 2)];
}

/** What several hosts report about one server. */
export class SpeedReports {
  readonly #byHost = new Map<string, SpeedReport>();

  /** Records a report in place of an earlier one of the same host. */
  add(host: string, report: SpeedReport): void {
    const known = this.#byHost.get(host);
    const isKnownCurrent =
      known !== undefined && report.observedAtMs - known.observedAtMs <= MAX_SPEED_AGE_MS;
    if (isKnownCurrent && !known.isRelayed && report.isRelayed) return;
    if (known && known.isRelayed === report.isRelayed && known.observedAtMs > report.observedAtMs)
      return;
    this.#byHost.delete(host);
    this.#byHost.set(host, report);
    const [oldest] = this.#byHost.keys();
    if (this.#byHost.size > MAX_REPORTERS && oldest !== undefined) this.#byHost.delete(oldest);
  }

  /**
   * Combines the reports with this host's own observation, if it has one. Returns undefined if
   * nothing recent is known.
   */
  combine(
    own: SpeedReport | undefined,
    nowMs: Milliseconds,
  ): Pick<SpeedReport, 'slowdown' | 'observedAtMs' | 'isRelayed'> | undefined {
    const reports = [...this.#byHost.values(), ...(own ? [own] : [])].filter(
      ({ observedAtMs }) => nowMs - observedAtMs <= MAX_SPEED_AGE_MS,
    );
    const direct = reports.filter(({ isRelayed }) => !isRelayed);
    const counted = direct.length > 0 ? direct : reports;
    const observedAtMs = Math.max(...counted.map((report) => report.observedAtMs));
    const current = counted.filter(
      (report) => observedAtMs - report.observedAtMs <= OUTDATED_AFTER_MS,
    );
    const slowdown = lowerMedian(current.map((report) => report.slowdown));
    if (slowdown === undefined) return undefined;
    return { slowdown, observedAtMs, isRelayed: direct.length === 0 };
  }
}
