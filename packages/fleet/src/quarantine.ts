import type { Milliseconds } from '@poppypond/core';
import { prefixOf } from './content-id.js';

/** A server that ended while it ran a request. */
export interface ServerTermination {
  readonly server: string;
  /** The host whose attempt it was. */
  readonly host: string;
  /** When the end was found, on this process's clock. */
  readonly atMs: Milliseconds;
}

/** What is known of one request under which servers have ended. */
export interface QuarantineEntry {
  /** Names the request by what it asks for, over all its tries. */
  readonly content: string;
  /** Rises when the request was served after servers had ended under it; `ends` then begins anew. */
  readonly round: number;
  /** Ends one after the other: each of a run that began when the one before was known. */
  readonly ends: number;
  /** Until when the request is not run, on this process's clock; counts from `MOST_ENDS` on. */
  readonly quarantinedUntilMs: Milliseconds;
  /** When any of this became known here, on this process's clock. */
  readonly changedAtMs: Milliseconds;
  /** The last of them. */
  readonly lastTerminations: readonly ServerTermination[];
}

/** What is known of a request as a run of it begins. */
export interface TerminationHistory {
  readonly round: number;
  readonly ends: number;
}

/** `trial`: it may run once more, as the time for which it was held is over. */
export type QuarantineVerdict = 'free' | 'trial' | 'held';

/**
 * Ends after which a request is not run any more. On 720 drawn days of ends, resets and releases, whole services
 * lost at once among them, 15 of 1,008,000 innocent requests met three that counted, and none was held back for
 * longer than 3 s (quarantine-days.test.ts).
 */
export const MAX_TERMINATIONS = 3;
/**
 * The first time for which it is held; each trial that ends a server makes it four times as long. A trial costs
 * all that runs on one server, some ten requests, and the server for some three seconds; an innocent request
 * that is held and that nobody else is served meanwhile is back after one hold.
 */
const INITIAL_HOLD_MS: Milliseconds = 20_000;
const HOLD_GROWTH = 4;
const MAX_HOLD_MS: Milliseconds = 600_000;
/** What happened this long ago says nothing of a request that is not held. */
const RETENTION_MS: Milliseconds = 120_000;
/** Bounds memory where thousands of different requests meet ends of servers: 1.1 MB, as measured. */
const MAX_ENTRIES = 1024;
/** Ends that are told when somebody asks why. */
const MAX_LISTED_TERMINATIONS = 3;

/** Of a request of which nothing is known. */
export const NO_TERMINATIONS: TerminationHistory = { round: 0, ends: 0 };

function holdMs(ends: number): Milliseconds {
  return Math.min(
    MAX_HOLD_MS,
    INITIAL_HOLD_MS * HOLD_GROWTH ** Math.max(0, ends - MAX_TERMINATIONS),
  );
}

/** Whether so many servers ended under a request that it is held, but for trials. */
export function isQuarantined({ ends }: QuarantineEntry): boolean {
  return ends >= MAX_TERMINATIONS;
}

/** Whether `other` tells more than `known`, by the order in which all hosts agree. */
function supersedes(other: QuarantineEntry, known: QuarantineEntry): boolean {
  if (other.round !== known.round) return other.round > known.round;
  return other.ends > known.ends || isQuarantinedLonger(other, known);
}

/** Of the same ends; a difference that comes from the way of a message is none. */
function isQuarantinedLonger(other: QuarantineEntry, known: QuarantineEntry): boolean {
  return (
    other.ends === known.ends &&
    other.quarantinedUntilMs > known.quarantinedUntilMs + holdMs(MAX_TERMINATIONS) / 2
  );
}

/**
 * Requests under which servers have ended, whoever sent them and how often. A request that ends each server
 * that runs it never has a whole answer, so one good answer frees it. Ends count only one after the other:
 * servers that are lost together, or under many runs of one request at once, count once.
 *
 * Entries of several hosts are merged so that the order and the number of messages make no difference.
 */
export class Quarantine {
  /** By content; the one that changed last comes last. */
  readonly #entries = new Map<string, QuarantineEntry>();
  /** How many entries with ends begin with each hint. */
  readonly #prefixCounts = new Map<string, number>();

  /** How many requests are known. */
  get size(): number {
    return this.#entries.size;
  }

  /** Whether a request whose name begins with `hint` may be known; asked before its body is read. */
  mayContain(hint: () => string): boolean {
    return this.#prefixCounts.size > 0 && this.#prefixCounts.has(hint());
  }

  /** What is known of a request; undefined where nothing is. */
  find(content: string): QuarantineEntry | undefined {
    return this.#entries.get(content);
  }

  /** To be asked as a run begins. */
  historyOf(content: string): TerminationHistory {
    return this.#entries.get(content) ?? NO_TERMINATIONS;
  }

  /** Requests that are not run now. */
  quarantinedCount(nowMs: Milliseconds): number {
    const entries = [...this.#entries.values()];
    return entries.filter((entry) => isQuarantined(entry) && nowMs < entry.quarantinedUntilMs)
      .length;
  }

  /**
   * Whether a request may run now; the trial is given once, to whoever asks first. Of several hosts each waits
   * `graceMs` of its own, so that all hear of one trial before the next host gives another.
   */
  judge(content: string, nowMs: Milliseconds, graceMs: Milliseconds = 0): QuarantineVerdict {
    const entry = this.#entries.get(content);
    if (!entry || !isQuarantined(entry)) return 'free';
    if (nowMs < entry.quarantinedUntilMs + graceMs) return 'held';
    this.#put({ ...entry, quarantinedUntilMs: nowMs + holdMs(entry.ends), changedAtMs: nowMs });
    return 'trial';
  }

  /** A server ended under a run that began when `began` was known; what is known now. */
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
      quarantinedUntilMs: quarantinedUntilMs,
      changedAtMs: end.atMs,
      lastTerminations: lastTerminations,
    };
    this.#put(entry);
    return entry;
  }

  /** The request was served; what is known now, or undefined where no end was known. */
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

  /** Takes in what another host knows; true where that is news. */
  merge(told: QuarantineEntry): boolean {
    const known = this.#entries.get(told.content);
    if (known && !supersedes(told, known)) return false;
    this.#put(told);
    return true;
  }

  /** Entries for a peer: those that changed last, and others by turns that begin at `turn`. */
  entriesFor(turn: number, most: number): readonly QuarantineEntry[] {
    const all = [...this.#entries.values()].reverse();
    if (all.length <= most) return all;
    const newest = all.slice(0, most / 2);
    const others = all.slice(most / 2);
    const from = (turn * (most - newest.length)) % others.length;
    return [...newest, ...others.slice(from), ...others.slice(0, from)].slice(0, most);
  }

  /** Forgets what lies so far back that it counts for nothing. */
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

  /** The one that is least missed: not held, and unchanged for longest. */
  #evictOne(): void {
    const entries = [...this.#entries.values()];
    const least = entries.find((entry) => !isQuarantined(entry)) ?? entries[0];
    if (least) this.#remove(least);
  }

  #remove(entry: QuarantineEntry): void {
    this.#entries.delete(entry.content);
    if (entry.ends > 0) this.#countPrefix(prefixOf(entry.content), -1);
  }

  #countPrefix(hint: string, by: number): void {
    const count = (this.#prefixCounts.get(hint) ?? 0) + by;
    if (count > 0) this.#prefixCounts.set(hint, count);
    else this.#prefixCounts.delete(hint);
  }
}
