import type { Milliseconds } from '@poppypond/core';

/** Runs that ended with one incarnation of a server, as far as their parts may have caused it. */
export interface TerminatedRuns {
  /** The incarnation, by its id and start time. */
  readonly incarnation: string;
  readonly server: string;
  /** A host that made such an attempt. */
  readonly host: string;
  /** When the incarnation ended, on this process's monotonic clock. */
  readonly atMs: Milliseconds;
  /** Whether `atMs` is when connections broke; otherwise the end was noticed up to seconds later. */
  readonly isPrompt: boolean;
  /** When the latest run with each part started, on this process's monotonic clock. */
  readonly parts: ReadonlyMap<string, Milliseconds>;
  /**
   * Content id of the request that ran with a part, by part; none if several requests did, or if the
   * host that noticed it does not report that.
   */
  readonly requests?: ReadonlyMap<string, string>;
}

/** A part that was in a complete response within this time before a termination did not cause it. */
const SERVED_RECENTLY_MS: Milliseconds = 3000;
/** Servers that are lost together end within this time of each other. */
const MIN_SEPARATION_MS: Milliseconds = 150;
/** The same for ends that are noticed by silence or by a new entry in the list. */
const MIN_UNSURE_SEPARATION_MS: Milliseconds = 3000;
/** Terminations at separate times after which a part is fatal, if it was not served in between. */
const MIN_SEPARATE = 5;
/** Fewer suffice if each ended a run that had started after the previous termination. */
const MIN_CONSECUTIVE = 3;
/** Older terminations say nothing about a part. */
const RETENTION_MS: Milliseconds = 60_000;
/** Bounds the work of a search; the oldest are dropped first. */
const MAX_TERMINATIONS_KEPT = 256;
/** Bounds a message with 16 terminations to 35 KB; engines run some 16 requests at once. */
const MAX_PARTS_OF_TERMINATION = 32;
/** Bounds memory to 0.5 MB; the parts that were served least recently are dropped first. */
const MAX_SERVED_PARTS = 4096;

/** Returns the requests of the parts that ran with no other request, after a further report. */
function mergeRequests(known: TerminatedRuns, told: TerminatedRuns): ReadonlyMap<string, string> {
  const isKept = (part: string, { parts, requests }: TerminatedRuns, request: string) =>
    !parts.has(part) || requests?.get(part) === request;
  const kept = [...(known.requests ?? [])].filter(([part, id]) => isKept(part, told, id));
  const added = [...(told.requests ?? [])].filter(([part, id]) => isKept(part, known, id));
  return new Map([...kept, ...added]);
}

/** Counts terminations by the two rules, in the order of time. */
class TerminationCount {
  #separate = 0;
  #consecutive = 0;
  #separateAtMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #consecutiveAtMs: Milliseconds = Number.NEGATIVE_INFINITY;

  add({ atMs, isPrompt }: TerminatedRuns, startedAtMs: Milliseconds): void {
    const separationMs = isPrompt ? MIN_SEPARATION_MS : MIN_UNSURE_SEPARATION_MS;
    if (atMs >= this.#separateAtMs + separationMs) {
      this.#separate += 1;
      this.#separateAtMs = atMs;
    }
    if (startedAtMs >= this.#consecutiveAtMs) {
      this.#consecutive += 1;
      this.#consecutiveAtMs = atMs;
    }
  }

  get isFatal(): boolean {
    return this.#separate >= MIN_SEPARATE || this.#consecutive >= MIN_CONSECUTIVE;
  }
}

/**
 * Finds the parts of prompts that terminate the servers that run them, among all parts that ran on
 * terminated servers. A fatal part is in no complete response, while the parts of other requests on
 * the same servers are served elsewhere. Terminations with a part that is known to be fatal are not
 * counted against other parts.
 */
export class PartTerminations {
  /** By incarnation, in the order in which they became known. */
  readonly #terminations = new Map<string, TerminatedRuns>();
  /** When each part was last in a complete response, least recent first. */
  readonly #servedAtMs = new Map<string, Milliseconds>();

  /** Merges a report; returns false if it contains nothing new. */
  record(runs: TerminatedRuns): boolean {
    const known = this.#terminations.get(runs.incarnation);
    if (!known) {
      const [oldest] = this.#terminations.keys();
      if (this.#terminations.size >= MAX_TERMINATIONS_KEPT && oldest !== undefined)
        this.#terminations.delete(oldest);
      this.#terminations.set(runs.incarnation, runs);
      return true;
    }
    const room = MAX_PARTS_OF_TERMINATION - known.parts.size;
    const news = [...runs.parts].filter(([part]) => !known.parts.has(part)).slice(0, room);
    const isMorePrompt = runs.isPrompt && !known.isPrompt;
    const requests = mergeRequests(known, runs);
    const isShared = [...(known.requests?.keys() ?? [])].some((part) => !requests.has(part));
    if (news.length === 0 && !isMorePrompt && !isShared) return false;
    const { atMs, isPrompt } = isMorePrompt ? runs : known;
    const parts = new Map([...known.parts, ...news]);
    this.#terminations.set(runs.incarnation, { ...known, atMs, isPrompt, parts, requests });
    return true;
  }

  /** Records that a part was in a complete response; returns false if a later one is known. */
  recordServed(part: string, atMs: Milliseconds): boolean {
    if (atMs <= this.servedAtMs(part)) return false;
    this.#servedAtMs.delete(part);
    this.#servedAtMs.set(part, atMs);
    const [leastRecent] = this.#servedAtMs.keys();
    if (this.#servedAtMs.size > MAX_SERVED_PARTS && leastRecent !== undefined)
      this.#servedAtMs.delete(leastRecent);
    return true;
  }

  /** When a part was last known to be in a complete response; minus infinity if never. */
  servedAtMs(part: string): Milliseconds {
    return this.#servedAtMs.get(part) ?? Number.NEGATIVE_INFINITY;
  }

  /** Whether a part may have caused a termination at `atMs`. */
  isSuspect(part: string, atMs: Milliseconds): boolean {
    return atMs > this.servedAtMs(part) + SERVED_RECENTLY_MS;
  }

  /** The terminations that count against a part, in the order of time. */
  terminationsOf(part: string, isHeld: (part: string) => boolean): readonly TerminatedRuns[] {
    return [...this.#terminations.values()]
      .filter(({ parts, atMs }) => parts.has(part) && this.isSuspect(part, atMs))
      .filter(({ parts }) => ![...parts.keys()].some((other) => other !== part && isHeld(other)))
      .sort((one, other) => one.atMs - other.atMs);
  }

  /**
   * Whether a part terminates the servers that run it. It also has to be so without the runs of any
   * request that ended several servers, as that request may itself be what ends them.
   */
  isFatal(part: string, isHeld: (part: string) => boolean): boolean {
    const terminations = this.terminationsOf(part, isHeld);
    const requests = terminations.flatMap((runs) => runs.requests?.get(part) ?? []);
    const repeated = requests.filter((request, index) => requests.indexOf(request) !== index);
    const isFatalWithout = (excluded: string | undefined) => {
      const count = new TerminationCount();
      for (const runs of terminations) {
        const request = runs.requests?.get(part);
        if (request === undefined || request !== excluded)
          count.add(runs, runs.parts.get(part) ?? runs.atMs);
      }
      return count.isFatal;
    };
    return [undefined, ...repeated].every(isFatalWithout);
  }

  /** Returns what is known of the end of an incarnation; undefined if that is nothing. */
  find(incarnation: string): TerminatedRuns | undefined {
    return this.#terminations.get(incarnation);
  }

  /** Ids of the servers that terminated while they ran a part. */
  serversOf(part: string): ReadonlySet<string> {
    const terminations = [...this.#terminations.values()];
    return new Set(terminations.filter(({ parts }) => parts.has(part)).map(({ server }) => server));
  }

  /** Ids of the servers that terminated while they ran a part in another request than this one. */
  serversOfOthers(part: string, request: string): ReadonlySet<string> {
    const terminations = [...this.#terminations.values()].filter(
      ({ parts, requests }) => parts.has(part) && requests?.get(part) !== request,
    );
    return new Set(terminations.map(({ server }) => server));
  }

  /** Removes terminations beyond their retention time. */
  expire(nowMs: Milliseconds): void {
    for (const [incarnation, { atMs }] of this.#terminations)
      if (nowMs - atMs > RETENTION_MS) this.#terminations.delete(incarnation);
  }
}
