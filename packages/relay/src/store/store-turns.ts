import type { Clock, Milliseconds } from '@poppypond/core';
import type { DirectReadInputs } from './direct-read.js';

/** What the hosts that are there say about whose turn it is to ask the store. */
export interface PeerTurns {
  /** Whether this host is one of the few that read for all. */
  isReader(): boolean;
  /** How many hosts come before this one where the store is to be tried again. */
  readonly turn: number;
}

/** Whose turn it is to ask the store, as this host sees it. */
export class StoreTurns {
  #joinedAtMs: Milliseconds | undefined;

  constructor(
    readonly clock: Clock,
    readonly peers: PeerTurns,
  ) {}

  /** The other hosts are known and were asked what they know. */
  onJoined(): void {
    this.#joinedAtMs = this.clock.monotonicMs();
  }

  /** What holds now. */
  now(): Pick<DirectReadInputs, 'isReader' | 'turn' | 'joinedForMs'> {
    const joinedAtMs = this.#joinedAtMs;
    const joinedForMs =
      joinedAtMs === undefined ? undefined : this.clock.monotonicMs() - joinedAtMs;
    return { isReader: this.peers.isReader(), turn: this.peers.turn, joinedForMs };
  }
}
