import { fault } from '@poppypond/core';
import type { Clock, Fault, Milliseconds } from '@poppypond/core';
import { ReceivedBytes } from '@poppypond/web';
import type { HostBudget, Reservation } from './host-budget.js';
import { CallerConnection } from '../server/caller-connection.js';
import type { CallerMessage } from '../server/caller-message.js';
import { RunningTime } from './running-time.js';
import { MAX_PAUSED_BYTES, MAX_UNREAD_BYTES } from './unread-bytes.js';

/** A body that was received completely, with the bytes that it holds. */
export interface HeldBody {
  readonly bytes: Buffer;
  readonly held: Reservation;
}

/** Limits of one body. */
export interface BodyLimits {
  readonly maxBytes: number;
  /** Time after which its caller waits no longer; undefined if the request states none. */
  readonly timeLimitMs?: Milliseconds | undefined;
}

/** Limits of all bodies. */
export interface BodyReaderOptions {
  /** A body of which nothing arrives for this long is refused. */
  readonly stalledAfterMs: () => Milliseconds;
  /** The same above the first watermark, and during a stop. */
  readonly stalledUnderPressureMs: Milliseconds;
  /** Returns the fault of requests that are not complete when the host stops, during a stop. */
  readonly stopping: () => Fault | undefined;
}

/** A body that is being received. */
interface OpenBody {
  readonly startedAtMs: Milliseconds;
  readonly dueAtMs: Milliseconds;
  /** Running time at which a part of it arrived last, or reading went on; undefined while paused. */
  readonly progressAtMs: () => Milliseconds | undefined;
  /** Whether it holds more when it is complete than what the system holds of it while it is paused. */
  readonly isLarge: () => boolean;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly refuse: (reason: Fault) => void;
}

/**
 * Large bodies that are read on above the first watermark, the oldest ones: if all were paused, none
 * would become complete and the bytes that they hold would never be returned.
 */
const PROGRESSING_BODIES = 4;
/** Callers that stay behind for this long have given up; a paused connection does not show it. */
const MAX_PAUSED_MS: Milliseconds = 15_000;
const SWEEP_PERIOD_MS: Milliseconds = 250;

/**
 * Returns the fault of a request that the host has no room for; the listener adds the retry time.
 */
export function hostFull(): Fault {
  return fault('host_full', 'the host holds as many bytes as its memory allows');
}

/** Returns the fault of a request whose body is larger than allowed. */
export function bodyTooLarge(): Fault {
  return fault('body_too_large', 'the request body is larger than the limit');
}

/** Returns the fault of a request whose caller does not send the rest of it. */
function callerSlow(detail: string): Fault {
  return fault('caller_slow', detail);
}

/** Receives the bodies of callers' requests as far as the budget of the host allows. */
export class BodyReader {
  /** In order of arrival. */
  readonly #open = new Set<OpenBody>();
  readonly #time: RunningTime;
  #pausedCount = 0;
  #isUpdating = false;

  constructor(
    readonly clock: Clock,
    readonly budget: HostBudget,
    readonly options: BodyReaderOptions,
  ) {
    this.#time = new RunningTime(clock);
    budget.onLevel(() => {
      this.#pauseOrResume();
    });
    clock.every(SWEEP_PERIOD_MS, () => {
      this.#refuseOverdue();
    });
  }

  /**
   * Reads the body of a message. Resolves with the fault if it is refused, and with undefined if
   * the caller disconnects before it is complete.
   */
  read(
    message: CallerMessage,
    { maxBytes, timeLimitMs = Number.POSITIVE_INFINITY }: BodyLimits,
  ): Promise<HeldBody | Fault | undefined> {
    const { clock, budget } = this;
    const connection = CallerConnection.of(message.socket);
    const held = budget.reserve('body');
    const unread = budget.reserve('unread');
    const declaredBytes = Number(message.headers['content-length'] ?? Number.POSITIVE_INFINITY);
    const startedAtMs = clock.monotonicMs();
    let progressAtMs: Milliseconds | undefined = this.#time.nowMs;
    return new Promise((resolve) => {
      const received = new ReceivedBytes(declaredBytes <= maxBytes ? declaredBytes : undefined);
      const isLarge = () =>
        declaredBytes < Number.POSITIVE_INFINITY
          ? declaredBytes - received.length > MAX_UNREAD_BYTES
          : received.length > MAX_UNREAD_BYTES;
      const end = (result: HeldBody | Fault | undefined) => {
        if (!this.#open.delete(body)) return;
        body.resume();
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
        startedAtMs,
        dueAtMs: startedAtMs + timeLimitMs,
        progressAtMs: () => (connection.isHeld ? undefined : progressAtMs),
        isLarge,
        pause: () => {
          if (progressAtMs === undefined) return;
          progressAtMs = undefined;
          this.#pausedCount += 1;
          connection.hold('body');
          unread.resize(Math.min(MAX_PAUSED_BYTES, declaredBytes - held.bytes));
        },
        resume: () => {
          if (progressAtMs !== undefined) return;
          progressAtMs = this.#time.nowMs;
          this.#pausedCount -= 1;
          unread.resize(0);
          connection.release('body');
        },
        refuse: end,
      };
      const onData = (chunk: Buffer) => {
        if (held.bytes + chunk.length > maxBytes) return end(bodyTooLarge());
        this.#makeRoom(body, chunk.length);
        if (!budget.fitsRequest(chunk.length)) return end(hostFull());
        const wasLarge = isLarge();
        received.push(chunk);
        held.add(chunk.length);
        if (progressAtMs !== undefined) progressAtMs = this.#time.nowMs;
        if (!wasLarge && isLarge()) this.#pauseOrResume();
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
      this.#pauseOrResume();
    });
  }

  /** Pauses large bodies above the first watermark, and refuses those for which there is no room. */
  #pauseOrResume(): void {
    const isFree = this.budget.level === 'free';
    if (this.#isUpdating || (isFree && this.#pausedCount === 0)) return;
    this.#isUpdating = true;
    let largeCount = 0;
    for (const body of [...this.#open]) {
      if (body.isLarge()) largeCount += 1;
      if (isFree || !body.isLarge() || largeCount <= PROGRESSING_BODIES) body.resume();
      else {
        body.pause();
        if (!this.budget.fitsAnswer(0)) body.refuse(hostFull());
      }
    }
    this.#isUpdating = false;
  }

  /**
   * Refuses newer bodies, the newest first, until `bytes` more of this one can be held: otherwise
   * bodies that are nearly complete would be refused for others that have just begun.
   */
  #makeRoom(body: OpenBody, bytes: number): void {
    if (this.budget.fitsAnswer(bytes)) return;
    for (const newer of [...this.#open].reverse()) {
      if (newer === body || this.budget.fitsAnswer(bytes)) return;
      newer.refuse(hostFull());
    }
  }

  /** Refuses bodies that do not arrive, and those that have waited too long for the level to fall. */
  #refuseOverdue(): void {
    const nowMs = this.clock.monotonicMs();
    const runningMs = this.#time.advance();
    const stopping = this.options.stopping();
    const isFree = this.budget.level === 'free';
    const hasPressure = !isFree || stopping !== undefined;
    const { stalledAfterMs, stalledUnderPressureMs } = this.options;
    const stalledMs = hasPressure ? stalledUnderPressureMs : stalledAfterMs();
    for (const body of [...this.#open]) {
      const stalledForMs = runningMs - (body.progressAtMs() ?? runningMs);
      if (nowMs > body.dueAtMs)
        body.refuse(callerSlow('the time limit of the request has passed before its body arrived'));
      else if (stalledForMs > stalledMs)
        body.refuse(
          stopping ?? (isFree ? callerSlow('the request body does not arrive') : hostFull()),
        );
      else if (!isFree && body.startedAtMs < nowMs - MAX_PAUSED_MS) body.refuse(hostFull());
    }
  }
}
