import type { Clock, Milliseconds } from '@poppypond/core';
import type { DirectReadInputs } from './direct-read.js';

/** The store reader role and retry order, as derived from the reachable hosts. */
export interface PeerTurns {
  /** Whether this host is one of the few store readers. */
  isReader(): boolean;
  /** Number of hosts that retry the store before this one. */
  readonly turn: number;
  /** Whether this host is one of the first in rank of all known hosts, alive or not. */
  readonly isRankedFirst: boolean;
}

/** When it is this host's turn to read the store. */
export class StoreTurns {
  #joinedAtMs: Milliseconds | undefined;

  constructor(
    readonly clock: Clock,
    readonly peers: PeerTurns,
  ) {}

  /** Records that the other hosts are known and have been asked for their data. */
  onJoined(): void {
    this.#joinedAtMs = this.clock.monotonicMs();
  }

  /** Returns the current role, turn and time since joining. */
  now(): Pick<DirectReadInputs, 'isReader' | 'isRankedFirst' | 'turn' | 'joinedForMs'> {
    const joinedAtMs = this.#joinedAtMs;
    const joinedForMs =
      joinedAtMs === undefined ? undefined : this.clock.monotonicMs() - joinedAtMs;
    const { isRankedFirst, turn } = this.peers;
    return { isReader: this.peers.isReader(), isRankedFirst, turn, joinedForMs };
  }
}
