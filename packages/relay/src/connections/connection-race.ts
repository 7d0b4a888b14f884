import type { CancelTimer, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { CONNECT_TIMEOUT_MS } from '@poppypond/web';
import { Result } from 'true-myth';
import type { Duplex } from 'node:stream';
import { afterEvents } from './after-events.js';
import { connectDirectly } from './direct-connection.js';
import { connectThrough } from './forwarded-connection.js';
import type { PathConnectorParts } from './path-connector.js';
import type { Connected, ConnectFailure } from './server-connector.js';

/** A direct connection that takes longer has lost a packet or its path. */
const FORWARD_AFTER_MS: Milliseconds = 100;
/** A peer that has not answered by then may itself be partitioned, so another is asked too. */
const NEXT_PEER_AFTER_MS: Milliseconds = 60;
const MAX_PEERS = 2;
/** For a path that is known to be broken. */
const MAX_PEERS_IF_BROKEN = 3;
/** Time limit if only a peer can connect, which takes more steps on two hosts. */
const FORWARDED_TIMEOUT_MS: Milliseconds = 600;

const TIMED_OUT: ConnectFailure = {
  why: 'silent',
  detail: 'connect timeout',
  isServerAtFault: true,
};

/**
 * Opens one connection over whichever path comes up first: directly, and if that fails or takes
 * long through peers. Nothing is sent before a path is chosen, so the request reaches the server at
 * most once.
 */
export class ConnectionRace {
  readonly #tried = new Set<string>();
  readonly #isKnownBroken: boolean;
  #resolve: (connected: Connected) => void = () => undefined;
  #isSettled = false;
  #isDirectStarted = false;
  /** Why the direct connection failed; undefined if it has not. */
  #directFailure: ConnectFailure | undefined;
  /** Peers that were asked and have not answered. */
  readonly #pending = new Map<string, AbortController>();
  /** The peer whose connection was taken; undefined if none was. */
  #forwardedBy: string | undefined;
  /** Whether a peer did not reach the server either. */
  #isConfirmed = false;
  #cancelForwarding: CancelTimer = () => undefined;

  constructor(
    readonly parts: PathConnectorParts,
    readonly server: BackendServer,
  ) {
    this.#isKnownBroken = parts.reachability.isBroken(server);
  }

  /** Resolves within `CONNECT_TIMEOUT_MS`, or `FORWARDED_TIMEOUT_MS` if the path is broken. */
  run(signal: AbortSignal): Promise<Connected> {
    const { clock, reachability } = this.parts;
    return new Promise((resolve) => {
      const timeoutMs = this.#isKnownBroken ? FORWARDED_TIMEOUT_MS : CONNECT_TIMEOUT_MS;
      const cancelTimeout = afterEvents(clock, timeoutMs, () => {
        this.#fail(TIMED_OUT);
      });
      const onAbort = () => {
        this.#settle(
          Result.err({ why: 'unavailable', detail: 'cancelled', isServerAtFault: false }),
        );
      };
      signal.addEventListener('abort', onAbort, { once: true });
      this.#resolve = (connected) => {
        cancelTimeout();
        signal.removeEventListener('abort', onAbort);
        resolve(connected);
      };
      if (!this.#isKnownBroken || reachability.takeProbe(this.server)) this.#connectDirectly();
      if (this.#isKnownBroken) this.#askNextPeer();
      else this.#askNextPeerAfter(FORWARD_AFTER_MS);
    });
  }

  /** Whether the direct connection has got no answer. */
  get #isSilent(): boolean {
    return this.#directFailure === undefined || this.#directFailure.why === 'silent';
  }

  #connectDirectly(): void {
    this.#isDirectStarted = true;
    const { clock, reachability } = this.parts;
    // Not cancelled when a peer is faster: if it comes up, the path works again.
    const { signal } = new AbortController();
    void connectDirectly(clock, this.server, signal).then((connected) => {
      if (connected.isOk) {
        reachability.recordConnected(this.server);
        this.#onConnected(connected.value);
        return;
      }
      this.#directFailure = connected.error;
      if (this.#forwardedBy !== undefined)
        reachability.recordBroken(this.server, this.#forwardedBy, this.#isSilent);
      else if (this.#pending.size === 0) this.#askNextPeer();
    });
  }

  #askNextPeerAfter(delayMs: Milliseconds): void {
    const { clock, peers } = this.parts;
    this.#cancelForwarding = afterEvents(clock, delayMs, () => {
      for (const host of this.#pending.keys()) peers.record(host, 'slow');
      this.#askNextPeer();
    });
  }

  /** Asks another peer to connect, up to a limit. */
  #askNextPeer(): void {
    this.#cancelForwarding();
    if (this.#isSettled) return;
    const maxPeers = this.#isKnownBroken ? MAX_PEERS_IF_BROKEN : MAX_PEERS;
    const peer = this.#tried.size < maxPeers ? this.parts.peers.choose(this.#tried) : undefined;
    if (!peer) {
      if (this.#pending.size === 0) this.#onPeersExhausted();
      return;
    }
    const cancellation = new AbortController();
    this.#tried.add(peer.host);
    this.#pending.set(peer.host, cancellation);
    void connectThrough(peer, this.server, cancellation.signal).then((connected) => {
      this.#pending.delete(peer.host);
      this.#onPeerAnswer(peer.host, connected);
    });
    this.#askNextPeerAfter(NEXT_PEER_AFTER_MS);
  }

  #onPeerAnswer(host: string, connected: Connected): void {
    const { metrics, peers, reachability } = this.parts;
    if (connected.isErr && this.#isSettled) return;
    const end = connected.isOk ? 'connected' : connected.error.why;
    metrics.count('poppypond_forwarding_requests_total', { end });
    // A peer that does not reach the server either may still reach others.
    if (connected.isOk) peers.record(host, 'usable');
    else if (connected.error.why === 'unavailable') peers.record(host, 'unavailable');
    if (connected.isErr) {
      this.#isConfirmed ||= connected.error.why !== 'unavailable';
      this.#askNextPeer();
      return;
    }
    if (!this.#isSettled) this.#forwardedBy = host;
    const isDirectLate = this.#isDirectStarted && !this.#isKnownBroken;
    if (this.#forwardedBy === host && (isDirectLate || this.#directFailure))
      reachability.recordBroken(this.server, host, this.#isSilent);
    this.#onConnected(connected.value);
  }

  #onPeersExhausted(): void {
    if (!this.#isDirectStarted) this.#connectDirectly();
    else if (this.#directFailure) this.#fail(this.#directFailure);
  }

  #onConnected(connection: Duplex): void {
    if (this.#isSettled) connection.destroy();
    else this.#settle(Result.ok(connection));
  }

  #fail(failure: ConnectFailure): void {
    if (this.#isSettled) return;
    const { peers, reachability } = this.parts;
    if (!this.#isConfirmed) reachability.recordUnreached(this.server, this.#isSilent);
    const isPathBroken = peers.isAnyKnown && reachability.isBroken(this.server);
    const isServerAtFault = this.#isConfirmed || !isPathBroken;
    this.#settle(Result.err({ ...failure, isServerAtFault }));
  }

  #settle(connected: Connected): void {
    if (this.#isSettled) return;
    this.#isSettled = true;
    this.#cancelForwarding();
    this.#resolve(connected);
    for (const cancellation of this.#pending.values()) cancellation.abort();
  }
}
