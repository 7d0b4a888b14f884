import type { Milliseconds } from '@poppypond/core';
import type { EngineFigures } from '@poppypond/routing';
import { passTimeMs } from './engine-times.js';
import { streamWorth } from './stream-worth.js';

/** One life of a backend server, as the platform lists it. */
export interface BackendServer {
  /** New with each start. */
  readonly id: string;
  readonly service: string;
  readonly address: string;
  readonly port: number;
  readonly availabilityZone: string;
  readonly slots: number;
  readonly isDraining: boolean;
}

/** Memory that is held on one engine for a request. */
export interface HeldMemory {
  readonly engineId: string;
  readonly tokens: number;
}

/** What one attempt of a request takes up, on the engine that writes and on those that help read. */
export interface AttemptUse {
  readonly attemptId: string;
  /** The host that placed it. */
  readonly host: string;
  readonly writerId: string;
  /** Engines that read a part of the prompt for the writer. */
  readonly readerIds: readonly string[];
  /** Time that each engine concerned spends reading. */
  readonly partMs: Milliseconds;
  /** Whether its first event has not come yet. */
  readonly isReading: boolean;
  /** When it was placed, on this process's clock. */
  readonly placedAtMs: Milliseconds;
  /** Tokens in the writer's memory. */
  readonly contextTokens: number;
  /** Memory on other engines, for prompts above one engine's memory. */
  readonly held: readonly HeldMemory[];
  /** The longest pause that its caller takes. */
  readonly gapAimMs: Milliseconds;
  /** When it is dropped from the view whatever was heard, on this process's clock. */
  readonly expiresAtMs: Milliseconds;
}

/** What is believed about one engine at one moment. */
export interface EngineLoad {
  readonly server: BackendServer;
  readonly writers: number;
  /** Writers whose pause a read of medium length would overrun. */
  readonly impatientWriters: number;
  /** What the writers' answers are worth together. */
  readonly writersWorth: number;
  /** Tokens that its writers read at every step. */
  readonly contextTokens: number;
  /** Tokens in its memory, those held for others included. */
  readonly memoryTokens: number;
  /** Time of a pass without reading; 0 while nothing writes. */
  readonly passMs: Milliseconds;
  readonly pendingReadMs: Milliseconds;
  /** The reading that the next pass may take in without a late event for any writer. */
  readonly slackMs: Milliseconds;
  readonly isSuspect: boolean;
}

/** Part of the allowed pause that is planned with; the rest covers what was not foreseen. */
const GAP_SHARE_PLANNED = 0.85;
/** Writers that allow shorter pauses than this count as impatient. */
const IMPATIENT_GAP_MS = 300;
/** Stands for "no writer to disturb": longer than any read that is worth placing. */
const UNDISTURBED_SLACK_MS = 60_000;

/** Prompts that take longer than this to read are read one at a time, each by many engines. */
export const LONG_READ_MS: Milliseconds = 800;
/** Reads take longer than foreseen by about this much; their first event tells sooner. */
const READ_OVERRUN = 1.15;
/** A read on fewer engines than this leaves enough of them for the next. */
const ENGINES_OF_A_TURN = 5;
/** A part waits for the end of a pass before it is read; about one pass of a full engine. */
const READ_START_MS: Milliseconds = 40;

function heldOn({ held }: AttemptUse, engineId: string): number {
  let tokens = 0;
  for (const part of held) if (part.engineId === engineId) tokens += part.tokens;
  return tokens;
}

/** Reading that lies before an engine: reads follow each other, each with a pass of the writers. */
function pendingRead(
  uses: Iterable<AttemptUse>,
  passMs: Milliseconds,
  nowMs: Milliseconds,
): Milliseconds {
  let freeAtMs = nowMs;
  let isFirst = true;
  for (const use of uses) {
    if (!use.isReading) continue;
    const beginsAtMs = isFirst ? use.placedAtMs : Math.max(freeAtMs, use.placedAtMs);
    isFirst = false;
    freeAtMs = beginsAtMs + use.partMs + Math.min(passMs, use.partMs);
  }
  return Math.max(0, freeAtMs - nowMs);
}

/** Every attempt that is known to run, on whichever host, and what follows for each engine. */
export class FleetView {
  readonly #attempts = new Map<string, AttemptUse>();
  readonly #byEngine = new Map<string, Set<AttemptUse>>();
  readonly #suspectUntil = new Map<string, Milliseconds>();

  get size(): number {
    return this.#attempts.size;
  }

  begin(use: AttemptUse): void {
    this.end(use.attemptId);
    this.#attempts.set(use.attemptId, use);
    this.#usesOf(use.writerId).add(use);
    for (const id of use.readerIds) this.#usesOf(id).add(use);
  }

  /** The first event came, so reading is over on all engines concerned. */
  onReadDone(attemptId: string): void {
    const use = this.#attempts.get(attemptId);
    if (use?.isReading) this.begin({ ...use, isReading: false });
  }

  end(attemptId: string): void {
    const use = this.#attempts.get(attemptId);
    if (!use) return;
    this.#attempts.delete(attemptId);
    for (const id of [use.writerId, ...use.readerIds]) {
      const uses = this.#byEngine.get(id);
      uses?.delete(use);
      if (uses?.size === 0) this.#byEngine.delete(id);
    }
  }

  /** Replaces all that is known of `host`, which has sent its whole list. */
  replaceHost(host: string, uses: readonly AttemptUse[]): void {
    const kept = new Set(uses.map((use) => use.attemptId));
    for (const use of [...this.#attempts.values()]) {
      if (use.host === host && !kept.has(use.attemptId)) this.end(use.attemptId);
    }
    for (const use of uses) if (!this.#attempts.has(use.attemptId)) this.begin(use);
  }

  attemptsOf(host: string): readonly AttemptUse[] {
    return [...this.#attempts.values()].filter((use) => use.host === host);
  }

  /** Drops attempts whose end was never heard of. */
  expire(nowMs: Milliseconds): void {
    for (const use of [...this.#attempts.values()]) {
      if (use.expiresAtMs <= nowMs) this.end(use.attemptId);
    }
  }

  /** Whether a prompt that takes the engines to itself is being read, as far as can be foreseen. */
  isLongReadRunning(nowMs: Milliseconds): boolean {
    for (const use of this.#attempts.values()) {
      const engines = use.readerIds.length + 1;
      if (!use.isReading || engines < ENGINES_OF_A_TURN) continue;
      if (use.partMs * engines < LONG_READ_MS) continue;
      if (nowMs < use.placedAtMs + use.partMs * READ_OVERRUN + READ_START_MS) return true;
    }
    return false;
  }

  /** Avoids a server until `untilMs`, unless there is no other. */
  suspect(serverId: string, untilMs: Milliseconds): void {
    this.#suspectUntil.set(serverId, untilMs);
  }

  trust(serverId: string): void {
    this.#suspectUntil.delete(serverId);
  }

  isSuspect(serverId: string, nowMs: Milliseconds): boolean {
    return (this.#suspectUntil.get(serverId) ?? 0) > nowMs;
  }

  writersOn(serverId: string): number {
    let writers = 0;
    for (const use of this.#byEngine.get(serverId) ?? [])
      if (use.writerId === serverId) writers += 1;
    return writers;
  }

  load(server: BackendServer, figures: EngineFigures, nowMs: Milliseconds): EngineLoad {
    let writers = 0;
    let impatientWriters = 0;
    let contextTokens = 0;
    let heldTokens = 0;
    let writersWorth = 0;
    let shortestGapMs = Number.POSITIVE_INFINITY;
    const uses = this.#byEngine.get(server.id) ?? [];
    for (const use of uses) {
      heldTokens += heldOn(use, server.id);
      if (use.writerId !== server.id) continue;
      writers += 1;
      contextTokens += use.contextTokens;
      writersWorth += streamWorth(use.contextTokens);
      if (use.gapAimMs < IMPATIENT_GAP_MS) impatientWriters += 1;
      shortestGapMs = Math.min(shortestGapMs, use.gapAimMs);
    }
    const passMs = writers > 0 ? passTimeMs(figures, writers, contextTokens) : 0;
    const allowedMs = writers > 0 ? shortestGapMs * GAP_SHARE_PLANNED : UNDISTURBED_SLACK_MS;
    const pendingReadMs = pendingRead(uses, passMs, nowMs);
    return {
      server,
      writers,
      impatientWriters,
      writersWorth,
      contextTokens,
      memoryTokens: contextTokens + heldTokens,
      passMs,
      pendingReadMs,
      slackMs: allowedMs - passMs - pendingReadMs,
      isSuspect: this.isSuspect(server.id, nowMs),
    };
  }

  #usesOf(engineId: string): Set<AttemptUse> {
    const known = this.#byEngine.get(engineId);
    if (known) return known;
    const made = new Set<AttemptUse>();
    this.#byEngine.set(engineId, made);
    return made;
  }
}
