import type { Clock, Milliseconds } from '@poppypond/core';
import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** Dependencies of `BacklogProbe`. */
export interface BacklogProbeParts {
  readonly clock: Clock;
  /** Address and port at which this process accepts the connections of callers. */
  readonly address: string;
  readonly port: number;
}

/** Longest wait that is measured. */
const MAX_WAIT_MS: Milliseconds = 500;

/**
 * Measures how long new connections wait before this process accepts them, by a connection of its
 * own: the operating system lets them wait in a queue that the process does not see.
 */
export class BacklogProbe {
  #connection: Socket | undefined;
  #onAccepted: () => void = () => undefined;

  constructor(readonly parts: BacklogProbeParts) {}

  /** Returns whether an accepted connection is that of the probe, which is then closed. */
  takeAccepted(accepted: Socket): boolean {
    const { localPort } = this.#connection ?? {};
    if (localPort === undefined || accepted.remotePort !== localPort) return false;
    accepted.destroy();
    this.#onAccepted();
    return true;
  }

  /** Returns the wait of a connection that is opened now, at most `MAX_WAIT_MS`. */
  measure(): Promise<Milliseconds> {
    const { address, clock, port } = this.parts;
    const startedAtMs = clock.monotonicMs();
    const connection = connect({ host: address, port });
    this.#connection = connection;
    return new Promise((resolve) => {
      const end = (waitMs: Milliseconds) => {
        cancelTimeout();
        connection.destroy();
        this.#connection = undefined;
        resolve(waitMs);
      };
      const cancelTimeout = clock.after(MAX_WAIT_MS, () => {
        end(MAX_WAIT_MS);
      });
      this.#onAccepted = () => {
        end(clock.monotonicMs() - startedAtMs);
      };
      // Tells nothing of the wait.
      connection.on('error', () => {
        end(0);
      });
    });
  }
}
