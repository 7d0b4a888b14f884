import type { Clock, Milliseconds } from '@poppypond/core';
import { isQuarantined, PartTerminations } from '@poppypond/fleet';
import type { BackendServer, QuarantineEntry, TerminatedRuns } from '@poppypond/fleet';
import type { SharedQuarantine } from './shared-quarantine.js';

/** Dependencies of `PartQuarantine`. */
export interface PartQuarantineParts {
  readonly clock: Clock;
  /** Name of this host. */
  readonly host: string;
  readonly quarantine: SharedQuarantine;
}

/** The end of a server as one host noticed it. */
export interface NoticedEnd {
  readonly server: BackendServer;
  readonly atMs: Milliseconds;
  /** Whether `atMs` is when a connection to the server broke. */
  readonly isPrompt: boolean;
}

/** What hosts tell each other: runs that ended with their server, and parts that were served. */
export interface PartReports {
  readonly terminated: readonly TerminatedRuns[];
  readonly served: readonly ServedPart[];
}

/** A part that was in a complete response. */
export interface ServedPart {
  readonly part: string;
  readonly atMs: Milliseconds;
}

const KEY_PREFIX = 'part:';
/** Parts of one host's runs on one server that are reported; the others were served recently. */
const MAX_REPORTED_PARTS = 16;
/** Characters of a content id that tell apart the requests that run on one server. */
const REQUEST_ID_LENGTH = 12;
/** Peers are told that a suspect part was served if they may not know it for this long. */
const SERVED_REPORT_PERIOD_MS: Milliseconds = 500;
const NO_REPORTS: PartReports = { terminated: [], served: [] };

/** Returns the quarantine key of a part of prompts for a service. */
export function partKeyOf(service: string, part: string): string {
  return `${KEY_PREFIX}${service}/${part}`;
}

function isPartKey(content: string): boolean {
  return content.startsWith(KEY_PREFIX);
}

function requestIdOf(content: string): string {
  return content.slice(0, REQUEST_ID_LENGTH);
}

/** Describes, for people, what an entry of the quarantine is about. */
export function describeSubject(content: string): string {
  if (!isPartKey(content)) return 'the request';
  return `part ${content.slice(content.lastIndexOf('/') + 1)} of its prompt`;
}

/**
 * Quarantines the parts of prompts that terminate the servers that run them, whatever else the
 * requests contain. All hosts report the parts of their runs that end with a server; a part that is
 * found to be fatal gets an entry in the quarantine of requests.
 */
export class PartQuarantine {
  readonly #known = new PartTerminations();
  #onReports: (reports: PartReports) => void = () => undefined;

  constructor(readonly parts: PartQuarantineParts) {
    parts.quarantine.onMerged((entry) => {
      this.#onMerged(entry);
    });
  }

  /** Sets the callback for what this host has found out itself. */
  onReports(callback: (reports: PartReports) => void): void {
    this.#onReports = callback;
  }

  /** Returns the entry of a part that is quarantined, even if a trial is due; undefined if it is not. */
  find(part: string): QuarantineEntry | undefined {
    const entry = this.parts.quarantine.find(part);
    return entry && isQuarantined(entry) ? entry : undefined;
  }

  /**
   * Records the end of a server during a run of this host with `partKeys`, started at `startedAtMs`;
   * `content`: the content id of its request.
   */
  onTerminated(
    { server, atMs, isPrompt }: NoticedEnd,
    partKeys: readonly string[],
    startedAtMs: Milliseconds,
    content: string,
  ): void {
    const suspects = partKeys
      .filter((part) => this.#known.isSuspect(part, atMs))
      .slice(0, MAX_REPORTED_PARTS);
    const runs: TerminatedRuns = {
      incarnation: `${server.id}/${String(server.startedAtMs ?? '')}`,
      server: server.id,
      host: this.parts.host,
      atMs,
      isPrompt,
      parts: new Map(suspects.map((part) => [part, startedAtMs])),
      requests: new Map(suspects.map((part) => [part, requestIdOf(content)])),
    };
    const isNew = runs.parts.size > 0 && this.#known.record(runs);
    // Other requests that ran on the server are reported with it, as one report replaces another.
    const known = this.#known.find(runs.incarnation);
    if (isNew && known) this.#onReports({ ...NO_REPORTS, terminated: [known] });
    const changed = [...this.#holdFatal(runs), ...this.#releaseVictims(runs.incarnation)];
    this.parts.quarantine.publishEntries(changed);
  }

  /** Records that a trial run of a part has ended with its server. */
  onTrialTerminated(part: string, server: string): void {
    const { quarantine } = this.parts;
    quarantine.onTermination(part, quarantine.historyOf(part), server);
  }

  /** Records that this host has served a request with `partKeys`. */
  onServed(partKeys: readonly string[]): void {
    const atMs = this.parts.clock.monotonicMs();
    for (const part of partKeys) {
      const isUnknown = atMs - this.#known.servedAtMs(part) > SERVED_REPORT_PERIOD_MS;
      const isSuspect = isUnknown && this.#terminationsOf(part).length > 0;
      this.#known.recordServed(part, atMs);
      this.parts.quarantine.onServed(part);
      if (isSuspect) this.#onReports({ ...NO_REPORTS, served: [{ part, atMs }] });
    }
  }

  /** Merges reports of a peer; returns those that were new, with what other hosts have reported. */
  mergeFromPeer({ terminated, served }: PartReports): PartReports {
    const news = {
      served: served.filter(({ part, atMs }) => this.#known.recordServed(part, atMs)),
      terminated: terminated
        .filter((runs) => this.#known.record(runs))
        .map((runs) => this.#known.find(runs.incarnation) ?? runs),
    };
    for (const runs of news.terminated) {
      this.#holdFatal(runs);
      this.#releaseVictims(runs.incarnation);
    }
    return news;
  }

  /** Removes what no longer has an effect. */
  expire(): void {
    this.#known.expire(this.parts.clock.monotonicMs());
  }

  #isHeld = (part: string): boolean => this.find(part) !== undefined;

  #terminationsOf(part: string): readonly TerminatedRuns[] {
    return this.#known.terminationsOf(part, this.#isHeld);
  }

  /**
   * Quarantines the parts of `runs` that are found to be fatal, those with the most terminations
   * first, and releases what was quarantined for the same terminations; returns all changed entries.
   */
  #holdFatal(runs: TerminatedRuns): readonly QuarantineEntry[] {
    const changed: QuarantineEntry[] = [];
    for (;;) {
      const fatal = [...runs.parts.keys()].filter(
        (part) => !this.#isHeld(part) && this.#known.isFatal(part, this.#isHeld),
      );
      if (fatal.length === 0) return changed;
      const counts = fatal.map((part) => this.#terminationsOf(part).length);
      const worst = fatal.filter((_part, index) => counts[index] === Math.max(...counts));
      // Those with equally many can't be told apart, so they are found before any is held.
      const found = worst.map((part) => ({ part, terminations: this.#terminationsOf(part) }));
      for (const { part, terminations } of found)
        changed.push(this.parts.quarantine.hold(part, terminations));
      for (const part of worst) changed.push(...this.#releaseExplained(part));
    }
  }

  /** Releases what was quarantined for the end of a server that ran a part that is held. */
  #releaseVictims(incarnation: string): readonly QuarantineEntry[] {
    const held = [...(this.#known.find(incarnation)?.parts.keys() ?? [])].filter(this.#isHeld);
    return held.flatMap((part) => this.#releaseExplained(part));
  }

  /**
   * Releases what was quarantined only for terminations of servers that ran a fatal part: requests,
   * if it was a part of others there, and parts with fewer terminations.
   */
  #releaseExplained(part: string): readonly QuarantineEntry[] {
    const servers = this.#known.serversOf(part);
    return this.parts.quarantine.release((entry) => {
      const { content, lastTerminations } = entry;
      if (lastTerminations.length === 0 || content === part) return false;
      const explained = isPartKey(content)
        ? servers
        : this.#known.serversOfOthers(part, requestIdOf(content));
      if (!lastTerminations.every(({ server }) => explained.has(server))) return false;
      return !isPartKey(content) || this.#known.serversOf(content).size < servers.size;
    }, `its servers ran ${part}`);
  }

  /** Releases a part that a peer has quarantined if this host has served it since. */
  #onMerged(entry: QuarantineEntry): void {
    const { content, changedAtMs, lastTerminations } = entry;
    if (!isPartKey(content)) return;
    if (!isQuarantined(entry)) {
      this.#known.recordServed(content, changedAtMs);
      return;
    }
    const last = lastTerminations.at(-1);
    if (last && !this.#known.isSuspect(content, last.atMs)) this.parts.quarantine.onServed(content);
    else this.#releaseExplained(content);
  }
}
