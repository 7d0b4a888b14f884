import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, FollowedRequest } from '@poppypond/fleet';
import { askServerState } from '@poppypond/web';
import type { ServerState } from '@poppypond/web';
import type { ServerList } from '../store/server-list.js';

/** How it was found that a server ended, or that it lives. */
export type ServerFinding = ServerState | 'started_again';

/** What was found of a server after an attempt, for its log line. */
export interface ProbedServer {
  readonly server: BackendServer;
  readonly content: string;
  readonly found: ServerFinding;
  readonly why: string;
  /** Ends under the request that are known now, this one included. */
  readonly ends: number;
}

/** What the search for ends needs. */
export interface TerminationDetectorParts {
  readonly clock: Clock;
  readonly servers: ServerList;
  readonly onProbed: (found: ProbedServer) => void;
}

/**
 * The most that a retry waits for the word whether its server has ended: a port that refuses says so within
 * a round trip, 3 ms between zones 1.4 ms apart; a machine that is gone says nothing, and the retry goes first.
 */
const PROBE_WAIT_MS: Milliseconds = 50;
/** A process that is started again in place is listed with its new birth by its second heartbeat. */
const RESTART_WATCH_MS: Milliseconds = 6000;

/** Finds out which servers ended under the attempts of one request. */
export class TerminationDetector {
  constructor(
    readonly parts: TerminationDetectorParts,
    readonly followed: FollowedRequest,
  ) {}

  /** A server that an attempt needs has started again, so the life that ran it is over. */
  onRestarted(attempt: string, server: BackendServer): void {
    this.#recordFinding(attempt, server, 'started_again', 'its life is over');
  }

  /** Finds out whether a server that an attempt needed has ended; resolves soon, found or not. */
  async probe(attempt: string, server: BackendServer, why: string): Promise<void> {
    const { clock } = this.parts;
    const probed = askServerState(clock, server).then((state) => {
      this.#recordFinding(attempt, server, state, why);
      // A process that was started again at once listens too.
      if (state === 'listening') this.#watchForRestart(attempt, server);
    });
    await Promise.race([probed, delay(clock, PROBE_WAIT_MS)]);
  }

  #watchForRestart(attempt: string, server: BackendServer): void {
    const { clock, servers } = this.parts;
    const end = servers.watchIncarnation(server, () => {
      this.onRestarted(attempt, server);
    });
    clock.after(RESTART_WATCH_MS, end);
  }

  #recordFinding(attempt: string, server: BackendServer, found: ServerFinding, why: string): void {
    const { followed } = this;
    if (found !== 'listening') followed.onTerminated(attempt, server.id);
    const { content, ends } = followed;
    this.parts.onProbed({ server, content, found, why, ends });
  }
}
