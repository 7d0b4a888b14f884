import { delay } from '@poppypond/core';
import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer, FollowedRequest } from '@poppypond/fleet';
import { askServerState } from '@poppypond/web';
import type { ServerState } from '@poppypond/web';
import type { ServerList } from '../store/server-list.js';

/** How it was found that a server ended, or that it lives. */
export type ServerFound = ServerState | 'started_again';

/** What was found of a server after an attempt, for its log line. */
export interface FoundServer {
  readonly server: BackendServer;
  readonly content: string;
  readonly found: ServerFound;
  readonly why: string;
  /** Ends under the request that are known now, this one included. */
  readonly ends: number;
}

/** What the search for ends needs. */
export interface RunEndsParts {
  readonly clock: Clock;
  readonly servers: ServerList;
  readonly onFound: (found: FoundServer) => void;
}

/**
 * The most that a retry waits for the word whether its server has ended: a port that refuses says so within
 * a round trip, 3 ms between zones 1.4 ms apart; a machine that is gone says nothing, and the retry goes first.
 */
const ANSWER_PATIENCE_MS: Milliseconds = 50;
/** A process that is started again in place is listed with its new birth by its second heartbeat. */
const STARTED_AGAIN_WITHIN_MS: Milliseconds = 6000;

/** Finds out which servers ended under the attempts of one request. */
export class RunEnds {
  constructor(
    readonly parts: RunEndsParts,
    readonly followed: FollowedRequest,
  ) {}

  /** A server that an attempt needs has started again, so the life that ran it is over. */
  onStartedAgain(attempt: string, server: BackendServer): void {
    this.#onFound(attempt, server, 'started_again', 'its life is over');
  }

  /** Finds out whether a server that an attempt needed has ended; resolves soon, found or not. */
  async askAfter(attempt: string, server: BackendServer, why: string): Promise<void> {
    const { clock } = this.parts;
    const asked = askServerState(clock, server).then((state) => {
      this.#onFound(attempt, server, state, why);
      // A process that was started again at once listens too.
      if (state === 'listening') this.#watchLife(attempt, server);
    });
    await Promise.race([asked, delay(clock, ANSWER_PATIENCE_MS)]);
  }

  #watchLife(attempt: string, server: BackendServer): void {
    const { clock, servers } = this.parts;
    const end = servers.watchIncarnation(server, () => {
      this.onStartedAgain(attempt, server);
    });
    clock.after(STARTED_AGAIN_WITHIN_MS, end);
  }

  #onFound(attempt: string, server: BackendServer, found: ServerFound, why: string): void {
    const { followed } = this;
    if (found !== 'listening') followed.onTerminated(attempt, server.id);
    const { content, ends } = followed;
    this.parts.onFound({ server, content, found, why, ends });
  }
}
