import type { Clock, Milliseconds } from '@poppypond/core';
import { isQuarantined } from '@poppypond/fleet';
import type {
  QuarantineRegistry,
  Quarantine,
  QuarantineEntry,
  TerminationHistory,
  QuarantineVerdict,
} from '@poppypond/fleet';
import type { Log, Measures } from '@poppypond/telemetry';

/** What it needs. */
export interface SharedQuarantineParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly measures: Measures;
  /** This host. */
  readonly host: string;
  readonly quarantine: Quarantine;
}

/** Word of a trial is with all hosts within this time, by a heartbeat if its message is lost. */
const GRACE_PER_RANK_MS: Milliseconds = 500;
/** Hosts after this one give a trial at the same time: some ten seconds after the first would. */
const MAX_RANK = 20;

/** Which servers ended under a request, when and by whose word, for people. */
export function describeTerminations({ lastTerminations }: QuarantineEntry, nowMs: number): string {
  return lastTerminations
    .map(
      ({ server, host, atMs }) => `${server} ${String(Math.round(nowMs - atMs))}ms ago (${host})`,
    )
    .join(', ');
}

/** What this host and its peers know of requests under which servers ended; logs each change of belief. */
export class SharedQuarantine implements QuarantineRegistry {
  #onChange: (entry: QuarantineEntry) => void = () => undefined;
  #rankOfHost: () => number = () => 0;

  constructor(readonly parts: SharedQuarantineParts) {}

  /** `callback` is told what this host has found out by itself. */
  onChange(callback: (entry: QuarantineEntry) => void): void {
    this.#onChange = callback;
  }

  /** `place` tells how many hosts that are there come before this one. */
  setRankSource(place: () => number): void {
    this.#rankOfHost = place;
  }

  /** Whether a request whose name begins with `hint` may be known. */
  mayContain(hint: () => string): boolean {
    return this.parts.quarantine.mayContain(hint);
  }

  /** What is known of a request; undefined where nothing is. */
  find(content: string): QuarantineEntry | undefined {
    return this.parts.quarantine.find(content);
  }

  /** To be asked as a run of a request begins. */
  historyOf(content: string): TerminationHistory {
    return this.parts.quarantine.historyOf(content);
  }

  /** Whether a request may run now. */
  judge(content: string): QuarantineVerdict {
    const { clock, quarantine } = this.parts;
    const verdict = quarantine.judge(content, clock.monotonicMs(), this.#graceMs);
    const entry = quarantine.find(content);
    if (verdict === 'trial' && entry) this.#publish('trial', entry);
    return verdict;
  }

  /** Until this host gives a trial, which callers are told to come back for. */
  quarantinedForMs({ quarantinedUntilMs }: QuarantineEntry): Milliseconds {
    return Math.max(0, quarantinedUntilMs + this.#graceMs - this.parts.clock.monotonicMs());
  }

  /** A server ended under a run of this host that began when `began` was known; what is known now. */
  onTermination(content: string, began: TerminationHistory, server: string): QuarantineEntry {
    const { clock, quarantine, host } = this.parts;
    const wasQuarantined = this.#isQuarantined(content);
    const end = { server, host, atMs: clock.monotonicMs() };
    const entry = quarantine.onTermination(content, began, end);
    if (isQuarantined(entry) && !wasQuarantined) this.#publish('held', entry);
    else this.#onChange(entry);
    return entry;
  }

  /** A request was served by this host. */
  onServed(content: string): void {
    const { clock, quarantine } = this.parts;
    const entry = quarantine.onServed(content, clock.monotonicMs());
    if (entry) this.#publish('freed', entry);
  }

  /** Takes in what a peer has told; the entries that were news. */
  mergeFromPeer(entries: readonly QuarantineEntry[], host: string): readonly QuarantineEntry[] {
    return entries.filter((entry) => {
      const wasHeld = this.#isQuarantined(entry.content);
      if (!this.parts.quarantine.merge(entry)) return false;
      const isNowQuarantined = isQuarantined(entry);
      if (isNowQuarantined !== wasHeld) this.#log(isNowQuarantined ? 'held' : 'freed', entry, host);
      return true;
    });
  }

  /** Entries for a peer. */
  entriesFor(turn: number, most: number): readonly QuarantineEntry[] {
    return this.parts.quarantine.entriesFor(turn, most);
  }

  /** Forgets what counts for nothing any more. */
  expire(): void {
    const { clock, measures, quarantine } = this.parts;
    const nowMs = clock.monotonicMs();
    quarantine.expire(nowMs);
    measures.set('poppypond_requests_quarantined', quarantine.quarantinedCount(nowMs));
  }

  get #graceMs(): Milliseconds {
    return Math.min(MAX_RANK, this.#rankOfHost()) * GRACE_PER_RANK_MS;
  }

  #isQuarantined(content: string): boolean {
    const entry = this.parts.quarantine.find(content);
    return entry !== undefined && isQuarantined(entry);
  }

  #publish(change: 'held' | 'freed' | 'trial', entry: QuarantineEntry): void {
    this.#log(change, entry, this.parts.host);
    this.#onChange(entry);
  }

  #log(change: 'held' | 'freed' | 'trial', entry: QuarantineEntry, reportedBy: string): void {
    const { clock, log, measures } = this.parts;
    const nowMs = clock.monotonicMs();
    measures.count('poppypond_quarantine_changes_total', { change });
    log.warn('quarantine', {
      change,
      content: entry.content,
      ends: entry.ends,
      round: entry.round,
      for_ms: Math.max(0, Math.round(entry.quarantinedUntilMs - nowMs)),
      ended: describeTerminations(entry, nowMs) || undefined,
      told_by: reportedBy,
      age_ms: Math.round(nowMs - entry.changedAtMs),
    });
  }
}
