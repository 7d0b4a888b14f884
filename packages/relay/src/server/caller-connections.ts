import type { CancelTimer, Milliseconds } from '@poppypond/core';
import type { Socket } from 'node:net';
import type { ConnectionLimits } from '../host/connection-limits.js';
import type { HostBudget, Reservation } from '../host/host-budget.js';
import { RunningTime } from '../host/running-time.js';
import { MAX_PAUSED_BYTES } from '../host/unread-bytes.js';
import { CallerConnection } from './caller-connection.js';
import { findCostly, findOldest } from './choose-closed.js';
import { ClosedConnections } from './closed-connections.js';
import type { ClosedConnectionsParts, CloseReason } from './closed-connections.js';
import type { ReadReport } from './connection-observer.js';
import { findOverdue } from './overdue.js';
import type { ConnectionTimeouts } from './overdue.js';
import { ParsingRest } from './parsing-rest.js';
import { TurnLimit } from './turn-limit.js';
import type { Watched } from './watched-connection.js';

/** Dependencies of `CallerConnections`. */
export interface CallerConnectionsParts extends ClosedConnectionsParts, ConnectionTimeouts {
  readonly limits: ConnectionLimits;
  readonly hostBudget: HostBudget;
}

/** Node's buffer for one read. */
const FULL_READ_BYTES = 64 * 1024;
const SWEEP_PERIOD_MS: Milliseconds = 250;
/** Costs are reduced to this share of their bound, so that not every read closes a connection. */
const REDUCED_SHARE = 0.8;
/** As Node responds when a head is late. */
const HEAD_TIMEOUT_RESPONSE = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\n\r\n';

/**
 * All open connections of callers. Bounds their number and what they cost, and closes those that
 * get no further: the ones without a complete request before the others.
 */
export class CallerConnections {
  /** Connections that have sent no request yet, and the others; longest without progress first. */
  readonly #unused = new Set<Watched>();
  readonly #used = new Set<Watched>();
  /** Costs of all connections, also of those that are being closed. */
  #totalCostBytes = 0;
  /** Costs of connections that are being closed: Node releases what they hold somewhat later. */
  #closingCostBytes = 0;
  #isHolding = false;
  /** Estimated bytes on connections that are not read. */
  readonly #unread: Reservation;
  readonly #closed: ClosedConnections;
  readonly #parsingRest: ParsingRest;
  readonly #turnLimit: TurnLimit;
  readonly #time: RunningTime;

  constructor(readonly parts: CallerConnectionsParts) {
    this.#closed = new ClosedConnections(parts);
    this.#parsingRest = new ParsingRest(parts.clock, parts.limits.maxParsingRestMs);
    this.#turnLimit = new TurnLimit(
      () => {
        for (const connection of this.#all()) connection.hold('turn');
      },
      () => {
        for (const connection of this.#all()) connection.release('turn');
      },
    );
    this.#unread = parts.hostBudget.reserve('unread');
    this.#time = new RunningTime(parts.clock);
  }

  start(): CancelTimer {
    return this.parts.clock.every(SWEEP_PERIOD_MS, () => {
      this.#sweep();
    });
  }

  /** Whether new requests must be refused, as the accepted ones take all that is allowed. */
  get isFull(): boolean {
    return this.#totalCostBytes - this.#closingCostBytes > this.parts.limits.maxCostBytes;
  }

  /** Watches a new connection; it may be closed at once if too many are open. */
  add(socket: Socket): void {
    const { limits } = this.parts;
    const { nowMs } = this.#time;
    const connection = CallerConnection.of(socket);
    const watched: Watched = {
      connection,
      costBytes: 0,
      isClosing: false,
      hasMore: false,
      progressAtMs: nowMs,
      headAtMs: undefined,
      sentBytes: 0,
      sentAtMs: nowMs,
    };
    this.#unused.add(watched);
    connection.observe(limits.maxPipelined, {
      onRequest: () => {
        this.#onProgress(watched);
      },
      onCost: () => {
        this.#updateCost(watched);
      },
      onManyChunks: () => {
        this.#watchReads(watched);
      },
    });
    if (this.#count > limits.maxUnwatched) this.#watchReads(watched);
    this.#updateCost(watched);
    if (this.#isHolding) connection.hold('cost');
    socket.once('close', () => {
      this.#onClosed(watched);
    });
    if (this.#count > limits.maxConnections || this.#hasTooManyReceiving())
      this.#closeOldest(watched);
  }

  get #count(): number {
    return this.#unused.size + this.#used.size;
  }

  #hasTooManyReceiving(): boolean {
    const { maxReceiving } = this.parts.limits;
    if (this.#count <= maxReceiving) return false;
    let receivingCount = this.#unused.size;
    for (const { connection } of this.#used) if (!connection.isWaiting) receivingCount += 1;
    return receivingCount > maxReceiving;
  }

  #watchReads(watched: Watched): void {
    watched.connection.watchReads(this.parts.clock, (report) => {
      this.#onRead(watched, report);
    });
  }

  /** Closes a connection that has more to read if the host has no room, or that takes too long. */
  #onRead(watched: Watched, report: ReadReport): void {
    const mayGoOn = this.#parsingRest.onRead(watched.connection, report);
    this.#turnLimit.count(report.parsingMs);
    const hadMore = watched.hasMore;
    watched.hasMore = report.bytes >= FULL_READ_BYTES;
    if (watched.hasMore && !hadMore) this.#unread.add(MAX_PAUSED_BYTES);
    if (!mayGoOn) this.#close(watched, 'small_chunks');
    else if (watched.hasMore && !this.parts.hostBudget.fitsUnread) this.#close(watched, 'memory');
  }

  #all(): readonly CallerConnection[] {
    return [...this.#unused, ...this.#used].map(({ connection }) => connection);
  }

  /** Whether bytes may wait on it that nobody else counts. */
  #hasUnread({ connection, hasMore }: Watched): boolean {
    return connection.hasUncountedUnread || (hasMore && !connection.isHeld);
  }

  #onProgress(watched: Watched): void {
    watched.headAtMs = undefined;
    watched.progressAtMs = this.#time.nowMs;
    this.#unused.delete(watched);
    this.#used.delete(watched);
    if (watched.connection.socket.destroyed) return;
    (watched.connection.hasRequested ? this.#used : this.#unused).add(watched);
  }

  #updateCost(watched: Watched): void {
    if (watched.connection.socket.destroyed) return;
    const { costBytes } = watched.connection;
    this.#totalCostBytes += costBytes - watched.costBytes;
    watched.costBytes = costBytes;
    if (!this.isFull) return;
    this.#reduceCosts();
    this.#holdOrRelease();
  }

  #onClosed(watched: Watched): void {
    if (watched.isClosing) this.#closingCostBytes -= watched.costBytes;
    this.#totalCostBytes -= watched.costBytes;
    this.#unused.delete(watched);
    this.#used.delete(watched);
    this.#holdOrRelease();
  }

  /**
   * Stops reading from all connections until Node has released what closed ones hold: one turn of the
   * event loop may read from hundreds more.
   */
  #holdOrRelease(): void {
    const mustHold =
      this.#closingCostBytes > 0 && this.#totalCostBytes > this.parts.limits.maxCostBytes;
    if (mustHold === this.#isHolding) return;
    this.#isHolding = mustHold;
    for (const connection of this.#all())
      if (mustHold) connection.hold('cost');
      else connection.release('cost');
  }

  /** Closes the connections that cost most, except those with one ordinary request that gets on. */
  #reduceCosts(): void {
    const wantedBytes = this.parts.limits.maxCostBytes * REDUCED_SHARE;
    for (const watched of findCostly([...this.#unused, ...this.#used], this.#time.nowMs)) {
      if (this.#totalCostBytes - this.#closingCostBytes <= wantedBytes) return;
      this.#close(watched, 'cost');
    }
  }

  /**
   * Closes a connection for a new one: the one that has been without progress for longest, of those
   * that have sent no request, rest, or whose request is not complete. Those that wait for a response
   * stay; if there are no others, the new one is closed unread.
   */
  #closeOldest(added: Watched): void {
    const oldest = findOldest(this.#unused, this.#used, added, this.#time.nowMs);
    this.#close(oldest ?? added, 'limit');
  }

  #sweep(): void {
    const { limits, metrics } = this.parts;
    this.#time.advance();
    let unreadCount = 0;
    for (const watched of [...this.#unused, ...this.#used]) {
      if (watched.connection.takeProgress()) this.#onProgress(watched);
      else if (watched.connection.hasUnreportedBytes) watched.headAtMs ??= this.#time.nowMs;
      else watched.hasMore &&= watched.connection.isHeld;
      const reason = findOverdue(watched, this.#time.nowMs, this.parts);
      if (reason === 'head_timeout') watched.connection.socket.write(HEAD_TIMEOUT_RESPONSE);
      if (reason) this.#close(watched, reason);
      else if (this.#hasUnread(watched)) unreadCount += 1;
    }
    this.#unread.resize(unreadCount * MAX_PAUSED_BYTES);
    metrics.set('poppypond_caller_connections', this.#count);
    metrics.set('poppypond_caller_connections_cost_bytes', this.#totalCostBytes);
    this.#closed.report({
      open: this.#count,
      max_open: limits.maxConnections,
      max_receiving: limits.maxReceiving,
      cost_bytes: Math.round(this.#totalCostBytes),
      max_cost_bytes: Math.round(limits.maxCostBytes),
    });
  }

  #close(watched: Watched, reason: CloseReason): void {
    if (watched.isClosing) return;
    watched.isClosing = true;
    this.#closingCostBytes += watched.costBytes;
    watched.connection.socket.destroy();
    this.#unused.delete(watched);
    this.#used.delete(watched);
    this.#closed.count(reason);
  }
}
