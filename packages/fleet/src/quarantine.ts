import type { Milliseconds } from '@poppypond/core';
import { prefixOf } from './content-id.js';
import {
  holdMs,
  isQuarantined,
  MAX_TERMINATIONS,
  NO_TERMINATIONS,
  supersedes,
} from './quarantine-entry.js';
import type {
  QuarantineEntry,
  QuarantineVerdict,
  ServerTermination,
  TerminationHistory,
} from './quarantine-entry.js';

/**
 * Entries are dropped this long after their last change or the end of their hold: older
 * terminations say nothing about a request.
 */
const RETENTION_MS: Milliseconds = 120_000;
/** Bounds memory to 1.1 MB if servers terminate under thousands of different requests. */
const MAX_ENTRIES = 1024;
/** Terminations that are listed to explain why a request is held. */
const MAX_LISTED_TERMINATIONS = 3;

/**
 * Quarantine of requests that terminate the servers that run them, identified by content regardless
 * of who sends them and how often. Such a request never gets a complete answer, so one complete
 * answer releases it. Only consecutive terminations count: servers that are lost together, or
 * during concurrent runs of one request, count once.
 *
 * Merging entries of other hosts is commutative and idempotent: the order and repetition of
 * messages make no difference.
 */
export class Quarantine {
  /** By content id, in the order of the last change. */
  readonly #entries = new Map<string, QuarantineEntry>();
  /** Number of entries with terminations by content id prefix. */
  readonly #prefixCounts = new Map<string, number>();

  /** Number of entries. */
  get size(): number {
    return this.#entries.size;
  }

  /**
   * Whether there may be an entry for a request with this content id prefix; avoids hashing the
   * body of most requests.
   */
  mayContain(prefix: () => string): boolean {
    return this.#prefixCounts.size > 0 && this.#prefixCounts.has(prefix());
  }

  /** Returns the entry of a request; undefined if there is none. */
  find(content: string): QuarantineEntry | undefined {
    return this.#entries.get(content);
  }

  /** Returns the known terminations; to be called when a run begins. */
  historyOf(content: string): TerminationHistory {
    return this.#entries.get(content) ?? NO_TERMINATIONS;
  }

  /** Number of requests that are held now. */
  quarantinedCount(nowMs: Milliseconds): number {
    const entries = [...this.#entries.values()];
    return entries.filter((entry) => isQuarantined(entry) && nowMs < entry.quarantinedUntilMs)
      .length;
  }

  /** Whether a request must not run now, also not as a trial. */
  isHeld(content: string, nowMs: Milliseconds, graceMs: Milliseconds = 0): boolean {
    const entry = this.#entries.get(content);
    if (!entry || !isQuarantined(entry)) return false;
    return nowMs < entry.quarantinedUntilMs + graceMs;
  }

  /**
   * Decides whether a request may run now. A trial is granted once, to the first caller after the
   * hold. Each host adds a different `graceMs`, so that all hosts learn of a trial before the next
   * host would grant another.
   */
  judge(content: string, nowMs: Milliseconds, graceMs: Milliseconds = 0): QuarantineVerdict {
    const entry = this.#entries.get(content);
    if (!entry || !isQuarantined(entry)) return 'free';
    if (this.isHeld(content, nowMs, graceMs)) return 'held';
    this.#put({ ...entry, quarantinedUntilMs: nowMs + holdMs(entry.ends), changedAtMs: nowMs });
    return 'trial';
  }

  /**
   * Records a termination during a run that began with the history `began`; returns the updated
   * entry.
   */
  onTermination(
    content: string,
    began: TerminationHistory,
    end: ServerTermination,
  ): QuarantineEntry {
    const known = this.#entries.get(content);
    const round = known?.round ?? began.round;
    const before = began.round === round ? began.ends : 0;
    const ends = Math.max(known?.ends ?? 0, before + 1);
    const isNext = ends > (known?.ends ?? 0);
    const quarantinedUntilMs = isNext ? end.atMs + holdMs(ends) : (known?.quarantinedUntilMs ?? 0);
    const lastTerminations = [...(known?.lastTerminations ?? []), end].slice(
      -MAX_LISTED_TERMINATIONS,
    );
    const entry = {
      content,
      round,
      ends,
      quarantinedUntilMs,
      changedAtMs: end.atMs,
      lastTerminations,
    };
    this.#put(entry);
    return entry;
  }

  /** Quarantines a subject that was found to terminate servers; returns the new entry. */
  hold(
    content: string,
    terminations: readonly ServerTermination[],
    nowMs: Milliseconds,
  ): QuarantineEntry {
    const entry = {
      content,
      round: this.#entries.get(content)?.round ?? 0,
      ends: MAX_TERMINATIONS,
      quarantinedUntilMs: nowMs + holdMs(MAX_TERMINATIONS),
      changedAtMs: nowMs,
      lastTerminations: terminations.slice(-MAX_LISTED_TERMINATIONS),
    };
    this.#put(entry);
    return entry;
  }

  /** Entries of all subjects that are quarantined. */
  quarantined(): readonly QuarantineEntry[] {
    return [...this.#entries.values()].filter(isQuarantined);
  }

  /**
   * Records that the request was served; returns the updated entry, or undefined if no termination
   * was known.
   */
  onServed(content: string, nowMs: Milliseconds): QuarantineEntry | undefined {
    const known = this.#entries.get(content);
    if (!known || known.ends === 0) return undefined;
    const round = known.round + 1;
    const entry = {
      content,
      round,
      ends: 0,
      quarantinedUntilMs: 0,
      changedAtMs: nowMs,
      lastTerminations: [],
    };
    this.#put(entry);
    return entry;
  }

  /**
   * Ends the hold of a subject whose terminations have another cause; one more termination holds it
   * again. Returns the updated entry, or undefined if it was not held.
   */
  release(content: string, nowMs: Milliseconds): QuarantineEntry | undefined {
    const known = this.#entries.get(content);
    if (!known || !isQuarantined(known)) return undefined;
    const entry = {
      ...known,
      round: known.round + 1,
      ends: MAX_TERMINATIONS - 1,
      quarantinedUntilMs: 0,
      changedAtMs: nowMs,
    };
    this.#put(entry);
    return entry;
  }

  /** Merges an entry of another host; returns true if it changed the state. */
  merge(told: QuarantineEntry): boolean {
    const known = this.#entries.get(told.content);
    if (known && !supersedes(told, known)) return false;
    this.#put(told);
    return true;
  }

  /**
   * Returns at most `most` entries for a peer: half of them the latest changes, the others in
   * rotation by `turn`.
   */
  entriesFor(turn: number, most: number): readonly QuarantineEntry[] {
    const all = [...this.#entries.values()].reverse();
    if (all.length <= most) return all;
    const newest = all.slice(0, most / 2);
    const others = all.slice(most / 2);
    const from = (turn * (most - newest.length)) % others.length;
    return [...newest, ...others.slice(from), ...others.slice(0, from)].slice(0, most);
  }

  /** Removes entries beyond their retention time. */
  expire(nowMs: Milliseconds): void {
    for (const entry of [...this.#entries.values()]) {
      const lastMs = isQuarantined(entry) ? entry.quarantinedUntilMs : entry.changedAtMs;
      if (nowMs - lastMs > RETENTION_MS) this.#remove(entry);
    }
  }

  #put(entry: QuarantineEntry): void {
    const known = this.#entries.get(entry.content);
    if (known) this.#remove(known);
    else if (this.#entries.size >= MAX_ENTRIES) this.#evictOne();
    this.#entries.set(entry.content, entry);
    if (entry.ends > 0) this.#countPrefix(prefixOf(entry.content), 1);
  }

  /**
   * Evicts the entry that has been unchanged for longest, preferably one that is not quarantined.
   */
  #evictOne(): void {
    const entries = [...this.#entries.values()];
    const least = entries.find((entry) => !isQuarantined(entry)) ?? entries[0];
    if (least) this.#remove(least);
  }

  #remove(entry: QuarantineEntry): void {
    this.#entries.delete(entry.content);
    if (entry.ends > 0) this.#countPrefix(prefixOf(entry.content), -1);
  }

  #countPrefix(prefix: string, by: number): void {
    const count = (this.#prefixCounts.get(prefix) ?? 0) + by;
    if (count > 0) this.#prefixCounts.set(prefix, count);
    else this.#prefixCounts.delete(prefix);
  }
}
