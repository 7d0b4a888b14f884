import { parseJson, parseRequestId } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import { isSelected } from '@poppypond/objects';
import type { Selector } from '@poppypond/objects';
import { Result } from 'true-myth';
import type { ObjectStore, StoreFault } from '../table/table-store.js';
import { decisionSchema } from './decision.js';
import type { Decision } from './decision.js';

const SEGMENT_PREFIX = 'decisions/';
const TIME_DIGITS = 14;
/** How much later than its request's arrival a decision is looked for. */
const SEARCH_WINDOW_MS = 900_000;
const MAX_SEGMENTS_READ = 400;

/** Which decisions are asked for by label. */
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
    isSelected(query.selector, decision.labels)
  );
}

/**
 * The decisions of this host: newest in a ring, all in segments in the object store.
 * A segment's name is its host and the time it was written, so that one request's decisions
 * are found by its identifier without an index.
 */
export class DecisionLog {
  readonly #ring: Decision[] = [];
  /** Lines that no segment holds yet; written out at once, so that a flush is no long pause. */
  #unsaved: string[] = [];
  #unreplicated: Decision[] = [];
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
    if (this.#unsaved.length > this.ringSize) {
      this.#unsaved.shift();
      this.lost += 1;
    }
  }

  /** Decisions since the last call, for a copy at a peer. */
  takeUnreplicated(): readonly Decision[] {
    const unreplicated = this.#unreplicated;
    this.#unreplicated = [];
    return unreplicated;
  }

  /** Keeps a peer's newest decisions until the peer has saved them itself. */
  storePeerDecisions(host: string, decisions: readonly Decision[]): void {
    const kept = [...(this.#peerDecisions.get(host) ?? []), ...decisions];
    this.#peerDecisions.set(host, kept.slice(-this.ringSize));
  }

  /** Writes what is unsaved as one segment; on failure it is kept for the next time. */
  async flush(): Promise<void> {
    if (this.#unsaved.length === 0) return;
    const batch = this.#unsaved;
    this.#unsaved = [];
    const name = segmentName(this.host, this.clock.wallMs());
    const body = batch.join('\n');
    const stored = await this.objects.put(name, body);
    if (stored.isOk) this.saved += batch.length;
    else this.#unsaved = [...batch, ...this.#unsaved].slice(-this.ringSize);
  }

  /** What this host holds in memory about a request. */
  findLocal(requestId: string): readonly Decision[] {
    const peerDecisions = [...this.#peerDecisions.values()].flat();
    return [...this.#ring, ...peerDecisions].filter((decision) => decision.requestId === requestId);
  }

  /** All that memory and the object store hold about a request, in order of time. */
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

  /** What this host holds in memory of a query. */
  queryLocal(query: DecisionQuery): readonly Decision[] {
    const peerDecisions = [...this.#peerDecisions.values()].flat();
    return [...this.#ring, ...peerDecisions].filter((decision) => matchesQuery(decision, query));
  }

  /** Decisions of all hosts whose labels are selected, in a time range. */
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

/** Joins decisions from several sources, each once, in order of time. */
export function mergeDecisions(...sources: readonly (readonly Decision[])[]): readonly Decision[] {
  const byText = new Map(sources.flat().map((decision) => [JSON.stringify(decision), decision]));
  return [...byText.values()].sort((a, b) => a.wallMs - b.wallMs);
}
