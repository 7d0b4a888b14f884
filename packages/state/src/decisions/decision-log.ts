import { parseJson, parseRequestId } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import { matchesSelector } from '@poppypond/objects';
import type { Selector } from '@poppypond/objects';
import { Result } from 'true-myth';
import type { ObjectStore, StoreFault } from '../table/table-store.js';
import { decisionSchema } from './decision.js';
import type { Decision } from './decision.js';

const SEGMENT_PREFIX = 'decisions/';
const TIME_DIGITS = 14;
/** Decisions about a request are searched up to this time after the request's arrival. */
const SEARCH_WINDOW_MS = 900_000;
const MAX_SEGMENTS_READ = 400;

/** Query for decisions by label and time. */
export interface DecisionQuery {
  readonly selector: Selector;
  readonly fromWallMs: Milliseconds;
  readonly toWallMs: Milliseconds;
}

function segmentName(host: string, wallMs: Milliseconds): string {
  return `${SEGMENT_PREFIX}${host}/${String(Math.floor(wallMs)).padStart(TIME_DIGITS, '0')}`;
}

function segmentWallMs(name: string): Milliseconds {
  return Number(name.slice(-TIME_DIGITS));
}

function parseSegment(text: string): readonly Decision[] {
  return text
    .split('\n')
    .filter((line) => line.length > 0)
    .map((line) => decisionSchema.safeParse(parseJson(line)))
    .flatMap((parsed) => (parsed.success ? [parsed.data] : []));
}

function matchesQuery(decision: Decision, query: DecisionQuery): boolean {
  return (
    decision.wallMs >= query.fromWallMs &&
    decision.wallMs <= query.toWallMs &&
    matchesSelector(query.selector, decision.labels)
  );
}

/**
 * Log of this host's decisions: the newest are in a ring in memory, all in segments in the object
 * store. A segment is named after its host and the time of its write. A request's identifier
 * contains its host and arrival time, so that its decisions are found without an index.
 */
export class DecisionLog {
  readonly #ring: Decision[] = [];
  /**
   * Lines that are in no segment yet; serialized when recorded, so that a flush causes no long
   * pause.
   */
  #unsaved: string[] = [];
  /** The latest decisions that no peer was sent yet; at most `ringSize`. */
  #unreplicated: Decision[] = [];
  #lastSegmentMs: Milliseconds = 0;
  readonly #peerDecisions = new Map<string, Decision[]>();
  lost = 0;
  saved = 0;

  constructor(
    readonly host: string,
    readonly objects: ObjectStore,
    readonly clock: Clock,
    readonly ringSize: number,
  ) {}

  get unsavedCount(): number {
    return this.#unsaved.length;
  }

  record(decision: Decision): void {
    this.#ring.push(decision);
    if (this.#ring.length > this.ringSize * 2) this.#ring.splice(0, this.ringSize);
    this.#unsaved.push(JSON.stringify(decision));
    this.#unreplicated.push(decision);
    if (this.#unreplicated.length > this.ringSize * 2)
      this.#unreplicated.splice(0, this.#unreplicated.length - this.ringSize);
    if (this.#unsaved.length > this.ringSize) {
      this.#unsaved.shift();
      this.lost += 1;
    }
  }

  /** Returns the decisions since the last call, at most the newest `ringSize`, for a peer. */
  takeUnreplicated(): readonly Decision[] {
    const unreplicated = this.#unreplicated.slice(-this.ringSize);
    this.#unreplicated = [];
    return unreplicated;
  }

  /**
   * Keeps a replica of a peer's newest decisions, for the time until the peer has saved them
   * itself.
   */
  storePeerDecisions(host: string, decisions: readonly Decision[]): void {
    const kept = [...(this.#peerDecisions.get(host) ?? []), ...decisions];
    this.#peerDecisions.set(host, kept.slice(-this.ringSize));
  }

  /**
   * Writes the unsaved decisions as one segment; after a failure they are kept for the next flush.
   */
  async flush(): Promise<void> {
    if (this.#unsaved.length === 0) return;
    const batch = this.#unsaved;
    this.#unsaved = [];
    // A segment of the same millisecond would be replaced.
    this.#lastSegmentMs = Math.max(Math.floor(this.clock.wallMs()), this.#lastSegmentMs + 1);
    const name = segmentName(this.host, this.#lastSegmentMs);
    const body = batch.join('\n');
    const stored = await this.objects.put(name, body);
    if (stored.isOk) this.saved += batch.length;
    else this.#keepUnsaved(batch);
  }

  /** Keeps decisions that could not be saved, as far as there is room; the oldest are lost. */
  #keepUnsaved(batch: readonly string[]): void {
    const unsaved = [...batch, ...this.#unsaved];
    this.#unsaved = unsaved.slice(-this.ringSize);
    this.lost += unsaved.length - this.#unsaved.length;
  }

  /** Decisions about a request that this host has in memory. */
  findLocal(requestId: string): readonly Decision[] {
    const peerDecisions = [...this.#peerDecisions.values()].flat();
    return [...this.#ring, ...peerDecisions].filter((decision) => decision.requestId === requestId);
  }

  /**
   * Decisions about a request in memory and in the object store, ordered by time. If the store
   * fails, only those in memory, or the fault if there are none.
   */
  async find(requestId: string): Promise<Result<readonly Decision[], StoreFault>> {
    const parsed = parseRequestId(requestId);
    if (!parsed) return Result.ok([]);
    const { host, wallMs } = parsed;
    const stored = await this.#readSegments(
      host,
      wallMs,
      wallMs + SEARCH_WINDOW_MS,
      (decision) => decision.requestId === requestId,
    );
    const local = this.findLocal(requestId);
    if (stored.isErr) return local.length > 0 ? Result.ok(local) : Result.err(stored.error);
    return Result.ok(mergeDecisions(stored.value, local));
  }

  /** Decisions that match a query and that this host has in memory. */
  queryLocal(query: DecisionQuery): readonly Decision[] {
    const peerDecisions = [...this.#peerDecisions.values()].flat();
    return [...this.#ring, ...peerDecisions].filter((decision) => matchesQuery(decision, query));
  }

  /**
   * Decisions of all hosts whose labels and time match a query. If the store fails, only those in
   * this host's memory, or the fault if there are none.
   */
  async query(query: DecisionQuery): Promise<Result<readonly Decision[], StoreFault>> {
    const local = this.queryLocal(query);
    const isMatch = (decision: Decision) => matchesQuery(decision, query);
    const to = query.toWallMs + SEARCH_WINDOW_MS;
    const stored = await this.#readSegments('', query.fromWallMs, to, isMatch);
    if (stored.isErr) return local.length > 0 ? Result.ok(local) : Result.err(stored.error);
    return Result.ok(mergeDecisions(stored.value, local));
  }

  async #readSegments(
    host: string,
    fromWallMs: Milliseconds,
    toWallMs: Milliseconds,
    isMatch: (decision: Decision) => boolean,
  ): Promise<Result<readonly Decision[], StoreFault>> {
    const prefix = host === '' ? SEGMENT_PREFIX : `${SEGMENT_PREFIX}${host}/`;
    const names = await this.objects.list(prefix, host === '' ? '' : segmentName(host, fromWallMs));
    if (names.isErr) return Result.err(names.error);
    const inRange = names.value.filter((name) => {
      const time = segmentWallMs(name);
      return time >= fromWallMs && time <= toWallMs;
    });
    const found: Decision[] = [];
    for (const name of inRange.slice(0, MAX_SEGMENTS_READ)) {
      const segment = await this.objects.get(name);
      if (segment.isErr) return Result.err(segment.error);
      found.push(...parseSegment(segment.value ?? '').filter(isMatch));
    }
    return Result.ok(found);
  }
}

/** Merges decisions from several sources without duplicates, ordered by time. */
export function mergeDecisions(...sources: readonly (readonly Decision[])[]): readonly Decision[] {
  const byText = new Map(sources.flat().map((decision) => [JSON.stringify(decision), decision]));
  return [...byText.values()].sort((a, b) => a.wallMs - b.wallMs);
}
