import type { Clock, Milliseconds } from '@poppypond/core';
import { isQuarantined } from '@poppypond/fleet';
import type {
  QuarantineRegistry,
  Quarantine,
  QuarantineEntry,
  ServerTermination,
  TerminationHistory,
  QuarantineVerdict,
} from '@poppypond/fleet';
import type { Log, PrometheusMetrics } from '@poppypond/telemetry';

/** Dependencies of `SharedQuarantine`. */
export interface SharedQuarantineParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: PrometheusMetrics;
  /** Name of this host. */
  readonly host: string;
  readonly quarantine: Quarantine;
}

/**
 * Delay per rank before a host allows a trial run. All hosts learn of a trial run within this time,
 * from a heartbeat if the message about it is lost.
 */
const GRACE_PER_RANK_MS: Milliseconds = 500;
/**
 * Hosts beyond this rank share one grace period: they allow a trial run ten seconds after the first
 * host would.
 */
const MAX_RANK = 20;

/**
 * Describes, for people, which servers terminated while running a request, how long ago, and which
 * host reported it.
 */
export function describeTerminations({ lastTerminations }: QuarantineEntry, nowMs: number): string {
  return lastTerminations
    .map(
      ({ server, host, atMs }) => `${server} ${String(Math.round(nowMs - atMs))}ms ago (${host})`,
    )
    .join(', ');
}

/**
 * The quarantine of requests whose attempts terminate servers, as known to this host and its peers;
 * logs each change.
 */
export class SharedQuarantine implements QuarantineRegistry {
  #onChange: (entry: QuarantineEntry) => void = () => undefined;
  #onMerged: (entry: QuarantineEntry) => void = () => undefined;
  #rankOfHost: () => number = () => 0;

  constructor(readonly parts: SharedQuarantineParts) {}

  /** Sets the callback for changes that this host has found out itself. */
  onChange(callback: (entry: QuarantineEntry) => void): void {
    this.#onChange = callback;
  }

  /** Sets the callback for entries of peers that were new. */
  onMerged(callback: (entry: QuarantineEntry) => void): void {
    this.#onMerged = callback;
  }

  /** Sets how the rank of this host is found: the number of reachable hosts before it. */
  setRankSource(place: () => number): void {
    this.#rankOfHost = place;
  }

  /** Whether there may be an entry of a request whose content id begins with `prefix`. */
  mayContain(prefix: () => string): boolean {
    return this.parts.quarantine.mayContain(prefix);
  }

  /** Returns the entry of a request, or undefined if there is none. */
  find(content: string): QuarantineEntry | undefined {
    return this.parts.quarantine.find(content);
  }

  /** Returns the terminations that are known as a run of a request begins. */
  historyOf(content: string): TerminationHistory {
    return this.parts.quarantine.historyOf(content);
  }

  /** Whether a request must not run now, also not as a trial. */
  isHeld(content: string): boolean {
    return this.parts.quarantine.isHeld(content, this.parts.clock.monotonicMs(), this.#graceMs);
  }

  /** Decides whether a request may run now; publishes a trial run that this allows. */
  judge(content: string): QuarantineVerdict {
    const { clock, quarantine } = this.parts;
    const verdict = quarantine.judge(content, clock.monotonicMs(), this.#graceMs);
    const entry = quarantine.find(content);
    if (verdict === 'trial' && entry) this.#publish('trial', entry);
    return verdict;
  }

  /**
   * Returns the time until this host allows a trial run, which callers receive as their retry
   * delay.
   */
  quarantinedForMs({ quarantinedUntilMs }: QuarantineEntry): Milliseconds {
    return Math.max(0, quarantinedUntilMs + this.#graceMs - this.parts.clock.monotonicMs());
  }

  /**
   * Records that a server terminated during a run of this host; `history`: what was known as the
   * run began. Returns the new entry.
   */
  onTermination(content: string, history: TerminationHistory, server: string): QuarantineEntry {
    const { clock, quarantine, host } = this.parts;
    const wasQuarantined = this.#isQuarantined(content);
    const end = { server, host, atMs: clock.monotonicMs() };
    const entry = quarantine.onTermination(content, history, end);
    if (isQuarantined(entry) && !wasQuarantined) this.#publish('held', entry);
    else this.#onChange(entry);
    return entry;
  }

  /**
   * Quarantines a subject for `terminations`. Does not publish it, as all hosts that know of the
   * terminations do the same.
   */
  hold(content: string, terminations: readonly ServerTermination[]): QuarantineEntry {
    const { clock, host, quarantine } = this.parts;
    const listed = terminations.map(({ server, host: noticedBy, atMs }) => {
      return { server, host: noticedBy, atMs };
    });
    const entry = quarantine.hold(content, listed, clock.monotonicMs());
    this.#log('held', entry, host);
    return entry;
  }

  /**
   * Ends the hold of the subjects that `isReleased` selects, as their terminations have another cause;
   * returns their new entries.
   */
  release(
    isReleased: (entry: QuarantineEntry) => boolean,
    why: string,
  ): readonly QuarantineEntry[] {
    const { clock, host, quarantine } = this.parts;
    return quarantine.quarantined().flatMap((known) => {
      const entry = isReleased(known)
        ? quarantine.release(known.content, clock.monotonicMs())
        : undefined;
      if (entry) this.#log('freed', entry, host, why);
      return entry ?? [];
    });
  }

  /** Publishes entries, for hosts that do not know of all terminations. */
  publishEntries(entries: readonly QuarantineEntry[]): void {
    for (const entry of entries) this.#onChange(entry);
  }

  /** Records that this host has served a request, which ends its quarantine. */
  onServed(content: string): void {
    const { clock, quarantine } = this.parts;
    const entry = quarantine.onServed(content, clock.monotonicMs());
    if (entry) this.#publish('freed', entry, 'served');
  }

  /** Merges entries from a peer and returns those that were new. */
  mergeFromPeer(entries: readonly QuarantineEntry[], host: string): readonly QuarantineEntry[] {
    return entries.filter((entry) => {
      const wasQuarantined = this.#isQuarantined(entry.content);
      if (!this.parts.quarantine.merge(entry)) return false;
      const isNowQuarantined = isQuarantined(entry);
      if (isNowQuarantined !== wasQuarantined)
        this.#log(isNowQuarantined ? 'held' : 'freed', entry, host);
      this.#onMerged(entry);
      return true;
    });
  }

  /** Returns at most `most` entries for a peer; `turn` selects which of the older ones. */
  entriesFor(turn: number, most: number): readonly QuarantineEntry[] {
    return this.parts.quarantine.entriesFor(turn, most);
  }

  /** Removes entries that no longer have an effect. */
  expire(): void {
    const { clock, metrics, quarantine } = this.parts;
    const nowMs = clock.monotonicMs();
    quarantine.expire(nowMs);
    metrics.set('poppypond_requests_quarantined', quarantine.quarantinedCount(nowMs));
  }

  get #graceMs(): Milliseconds {
    return Math.min(MAX_RANK, this.#rankOfHost()) * GRACE_PER_RANK_MS;
  }

  #isQuarantined(content: string): boolean {
    const entry = this.parts.quarantine.find(content);
    return entry !== undefined && isQuarantined(entry);
  }

  #publish(change: 'held' | 'freed' | 'trial', entry: QuarantineEntry, why?: string): void {
    this.#log(change, entry, this.parts.host, why);
    this.#onChange(entry);
  }

  #log(
    change: 'held' | 'freed' | 'trial',
    entry: QuarantineEntry,
    reportedBy: string,
    why?: string,
  ): void {
    const { clock, log, metrics } = this.parts;
    const nowMs = clock.monotonicMs();
    metrics.count('poppypond_quarantine_changes_total', { change });
    log.warn('quarantine', {
      change,
      content: entry.content,
      ends: entry.ends,
      round: entry.round,
      why,
      for_ms: Math.max(0, Math.round(entry.quarantinedUntilMs - nowMs)),
      ended: describeTerminations(entry, nowMs) || undefined,
      told_by: reportedBy,
      age_ms: Math.round(nowMs - entry.changedAtMs),
    });
  }
}
