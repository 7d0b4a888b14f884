import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { probeConnection } from '../connections/server-connector.js';
import type { ConnectionProbe, ServerConnector } from '../connections/server-connector.js';
import type { EngineMemory } from '../ports.js';
import type { ServerList } from '../store/server-list.js';
import type { NoticedEnd } from './part-quarantine.js';
import type { TerminationTracker } from './termination-tracker.js';

/**
 * What has become of the incarnation of a server that ran an attempt. `running`: it answers.
 * `started_again`: another one answers at its address. `listening`: a process accepts connections,
 * but does not state when it started, or may not be asked. `refused`, `silent`: none accepts them.
 * `unknown`: this host does not reach it, or it does not answer.
 */
export type ServerFinding = ConnectionProbe | 'running' | 'started_again';

/** Result of the check of one server after an attempt, for the log. */
export interface ProbedServer {
  readonly server: BackendServer;
  readonly content: string;
  readonly found: ServerFinding;
  readonly why: string;
  /** Terminations that are now counted against the request, including this one. */
  readonly ends: number;
}

/** Dependencies of `TerminationDetector`. */
export interface TerminationDetectorParts {
  readonly clock: Clock;
  readonly connector: ServerConnector;
  readonly servers: ServerList;
  readonly memory: Pick<EngineMemory, 'readStatus'>;
  readonly onProbed: (found: ProbedServer) => void;
}

/**
 * Longest time that a retry waits to learn whether the server has terminated. A closed port refuses
 * the connection within a round trip, 3 ms between availability zones that are 1.4 ms apart; a host
 * that is gone does not answer, and the retry proceeds.
 */
const PROBE_WAIT_MS: Milliseconds = 50;
/**
 * Longest time for which the end of a response is held back to learn whether it is complete, if the
 * request can be repeated instead.
 */
const END_PROBE_WAIT_MS: Milliseconds = 250;
/**
 * A process that restarts in place is listed with its new start time by its second heartbeat,
 * within this time.
 */
const RESTART_WATCH_MS: Milliseconds = 6000;

const TERMINATIONS: ReadonlySet<ServerFinding> = new Set(['refused', 'silent', 'started_again']);

/** Whether a server has terminated, as far as any host can tell. */
export function isTermination(found: ServerFinding): boolean {
  return TERMINATIONS.has(found);
}

/** Detects which servers terminated while they ran attempts of one request. */
export class TerminationDetector {
  /** Incarnations whose end was counted for this request. */
  readonly #terminated = new Set<string>();
  /** Attempts that were counted; each counts once, however many of its servers ended. */
  readonly #countedAttempts = new Set<string>();

  constructor(
    readonly parts: TerminationDetectorParts,
    readonly followed: TerminationTracker,
  ) {}

  /**
   * Records that a server that an attempt depends on has restarted, so the incarnation that ran it
   * has terminated.
   */
  onRestarted(attempt: string, server: BackendServer): void {
    const end = { server, atMs: this.parts.clock.monotonicMs(), isPrompt: false };
    this.#onRestarted(attempt, end);
  }

  /**
   * Checks whether a server that an attempt depended on has terminated. Resolves within
   * `PROBE_WAIT_MS`; a later result is still recorded. `isPrompt`: whether its connection has just
   * broken.
   */
  async probe(
    attempt: string,
    server: BackendServer,
    why: string,
    isPrompt = false,
  ): Promise<void> {
    const probed = this.#probe(attempt, server, why, isPrompt);
    await Promise.race([probed, delay(this.parts.clock, PROBE_WAIT_MS)]);
  }

  /**
   * Returns what has become of a server whose connection has just ended. If the request may be
   * repeated, `unknown` after `END_PROBE_WAIT_MS`, and a later result is still recorded; otherwise
   * nothing else can be done for it meanwhile.
   */
  probeAtEnd(
    attempt: string,
    server: BackendServer,
    why: string,
    mayRepeat: boolean,
  ): Promise<ServerFinding> {
    const probed = this.#probe(attempt, server, why, true);
    if (!mayRepeat) return probed;
    const late = delay(this.parts.clock, END_PROBE_WAIT_MS).then((): ServerFinding => 'unknown');
    return Promise.race([probed, late]);
  }

  async #probe(
    attempt: string,
    server: BackendServer,
    why: string,
    isPrompt: boolean,
  ): Promise<ServerFinding> {
    const end = { server, atMs: this.parts.clock.monotonicMs(), isPrompt };
    const found = await this.#find(server);
    this.#recordFinding(attempt, end, found, why);
    if (!isTermination(found)) this.#watchForRestart(attempt, end);
    return found;
  }

  /** An open port proves nothing: a process that started again accepts connections too. */
  async #find(server: BackendServer): Promise<ServerFinding> {
    const probed = await probeConnection(this.parts.connector, server);
    if (probed !== 'listening') return probed;
    const status = await this.parts.memory.readStatus(server);
    if (!status) return 'unknown';
    if (status.startedAtMs === undefined || server.startedAtMs === undefined) return 'listening';
    return status.startedAtMs === server.startedAtMs ? 'running' : 'started_again';
  }

  #watchForRestart(attempt: string, end: NoticedEnd): void {
    const { clock, servers } = this.parts;
    const stopWatching = servers.watchIncarnation(end.server, () => {
      this.#onRestarted(attempt, end);
    });
    clock.after(RESTART_WATCH_MS, stopWatching);
  }

  #onRestarted(attempt: string, end: NoticedEnd): void {
    this.#recordFinding(attempt, end, 'started_again', 'a newer incarnation is listed');
  }

  /**
   * Whether no earlier attempt of the request has counted the end of this incarnation: several that
   * lost their connections to it are all told when the next one is listed.
   */
  #isFirstReport({ id, startedAtMs }: BackendServer): boolean {
    const incarnation = `${id}/${String(startedAtMs)}`;
    if (this.#terminated.has(incarnation)) return false;
    this.#terminated.add(incarnation);
    return true;
  }

  #recordFinding(attempt: string, end: NoticedEnd, found: ServerFinding, why: string): void {
    const { followed } = this;
    const { server } = end;
    const mayCount = isTermination(found) && !this.#countedAttempts.has(attempt);
    if (mayCount && this.#isFirstReport(server)) {
      this.#countedAttempts.add(attempt);
      followed.onTerminated(attempt, end);
    }
    const { content, ends } = followed;
    this.parts.onProbed({ server, content, found, why, ends });
  }
}
