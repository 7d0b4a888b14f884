import type { ServerResponse } from 'node:http';
import type { HostBudget, Reservation } from './host-budget.js';

/**
 * Writes to one caller. What the caller has not read yet is held for it as far as the budget of the
 * host allows, so that its server need not wait for it.
 */
export class CallerWrites {
  readonly #held: Reservation;
  #onRoom: () => void = () => undefined;
  #stopWaiting: (() => void) | undefined;

  constructor(
    readonly response: ServerResponse,
    readonly budget: HostBudget,
  ) {
    this.#held = budget.reserve('caller');
    response.once('finish', () => {
      this.#held.end();
    });
    response.once('close', () => {
      this.#stopWaiting?.();
      this.#held.end();
    });
    response.on('drain', () => {
      this.#notifyIfRoom();
    });
  }

  /** Bytes that the caller has not read yet and that are held for it. */
  get heldBytes(): number {
    return this.#held.bytes;
  }

  /** Sets the callback for when more may be written after `write` returned false. */
  onRoom(callback: () => void): void {
    this.#onRoom = callback;
  }

  /** Writes bytes; returns false if no more should be written until `onRoom` is called. */
  write(bytes: Buffer): boolean {
    if (!this.budget.isEnabled) return this.response.write(bytes, this.#countLink(bytes));
    const countLink = this.#countLink(bytes);
    this.#held.add(bytes.length);
    const isFlowing = this.response.write(bytes, (error) => {
      this.#held.release(bytes.length);
      countLink?.(error);
      // The response reports a drain only once everything is written.
      if (this.#stopWaiting) this.#notifyIfRoom();
    });
    if (isFlowing || this.#hasRoom()) return true;
    // Room also appears when others return what they hold.
    this.#stopWaiting ??= this.budget.onLevel(() => {
      this.#notifyIfRoom();
    });
    return false;
  }

  /** Writes the last bytes and ends the response. */
  end(bytes?: Buffer): void {
    if (bytes) this.#held.add(bytes.length);
    this.response.end(bytes, bytes && this.#countLink(bytes));
  }

  /**
   * Returns the callback of a write that counts its bytes, unless the connection was closed before
   * they were written; undefined if the bandwidth of the link is not known.
   */
  #countLink(bytes: Buffer): ((error?: Error | null) => void) | undefined {
    const { link } = this.budget;
    return (
      link &&
      ((error) => {
        if (!error) link.onWritten(bytes.length);
      })
    );
  }

  #hasRoom(): boolean {
    const { level, size } = this.budget;
    if (!this.response.writableNeedDrain) return true;
    return level === 'free' && size !== undefined && this.#held.bytes <= size.responseBytes;
  }

  #notifyIfRoom(): void {
    if (this.budget.isEnabled && !this.#hasRoom()) return;
    this.#stopWaiting?.();
    this.#stopWaiting = undefined;
    this.#onRoom();
  }
}
