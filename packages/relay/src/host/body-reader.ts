import { fault } from '@poppypond/core';
import type { Clock, Fault, Milliseconds } from '@poppypond/core';
import { ReceivedBytes } from '@poppypond/web';
import type { IncomingMessage } from 'node:http';
import type { HostBudget, Reservation } from './host-budget.js';

import { unreadBytesOf } from './unread-bytes.js';

/** A body that was received completely, with the bytes that it holds. */
export interface HeldBody {
  readonly bytes: Buffer;
  readonly held: Reservation;
}

/** A body that is being received. */
interface OpenBody {
  readonly startedAtMs: Milliseconds;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly refuse: (reason: Fault) => void;
}

/**
 * Bodies that are read on above the first watermark, the oldest ones: if all were paused, none
 * would become complete and the bytes that they hold would never be returned.
 */
const PROGRESSING_BODIES = 4;
/** Callers that stay behind for this long have given up; a paused connection does not show it. */
const MAX_PAUSED_MS: Milliseconds = 15_000;
const SWEEP_PERIOD_MS: Milliseconds = 1000;

/**
 * Returns the fault of a request that the host has no room for; the listener adds the retry time.
 */
export function hostFull(): Fault {
  return fault('host_full', 'the host holds as many bytes as its memory allows');
}

/** Receives the bodies of callers' requests as far as the budget of the host allows. */
export class BodyReader {
  /** In order of arrival. */
  readonly #open = new Set<OpenBody>();

  constructor(
    readonly clock: Clock,
    readonly budget: HostBudget,
  ) {
    if (!budget.isEnabled) return;
    budget.onLevel(() => {
      this.#pauseOrResume();
    });
    clock.every(SWEEP_PERIOD_MS, () => {
      this.#refuseOutdated();
    });
  }

  /**
   * Reads the body of a message. Resolves with the fault if it is refused, and with undefined if
   * the caller disconnects before it is complete.
   */
  read(message: IncomingMessage, maxBytes: number): Promise<HeldBody | Fault | undefined> {
    const held = this.budget.reserve('body');
    const unread = this.budget.reserve('unread');
    const declaredBytes = Number(message.headers['content-length'] ?? Number.POSITIVE_INFINITY);
    return new Promise((resolve) => {
      const received = new ReceivedBytes(declaredBytes <= maxBytes ? declaredBytes : undefined);
      const end = (result: HeldBody | Fault | undefined) => {
        if (!this.#open.delete(body)) return;
        unread.end();
        message.off('data', onData);
        if (!result || !('held' in result)) held.end();
        received.clear();
        // Discards the rest of a refused body, so that the caller reads the refusal.
        message.resume();
        resolve(result);
        this.#pauseOrResume();
      };
      const body: OpenBody = {
        startedAtMs: this.clock.monotonicMs(),
        pause: () => {
          if (message.isPaused()) return;
          message.pause();
          unread.resize(unreadBytesOf(declaredBytes - held.bytes));
        },
        resume: () => {
          unread.resize(0);
          if (message.isPaused()) message.resume();
        },
        refuse: end,
      };
      const onData = (chunk: Buffer) => {
        if (held.bytes + chunk.length > maxBytes)
          return end(fault('body_too_large', 'the request body is larger than the limit'));
        if (!this.budget.fitsRequest(chunk.length)) return end(hostFull());
        received.push(chunk);
        held.add(chunk.length);
      };
      this.#open.add(body);
      message.on('data', onData);
      message.once('end', () => {
        end({ bytes: received.take(), held });
      });
      message.once('error', () => {
        end(undefined);
      });
      message.once('close', () => {
        end(undefined);
      });
      if (this.budget.level !== 'free') this.#pauseOrResume();
    });
  }

  #pauseOrResume(): void {
    const isFree = this.budget.level === 'free';
    let position = 0;
    for (const body of [...this.#open]) {
      if (isFree || position < PROGRESSING_BODIES) body.resume();
      else body.pause();
      position += 1;
    }
  }

  /** Refuses bodies that have waited for too long for the level to fall. */
  #refuseOutdated(): void {
    if (this.budget.level === 'free') return;
    const beforeMs = this.clock.monotonicMs() - MAX_PAUSED_MS;
    for (const body of [...this.#open]) {
      if (body.startedAtMs < beforeMs) body.refuse(hostFull());
    }
  }
}
