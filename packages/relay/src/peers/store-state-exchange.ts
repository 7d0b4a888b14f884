import type { Milliseconds } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import { diffLists, applyListDelta } from '../store/list-delta.js';
import type { ListDelta } from '../store/list-delta.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireServer, encodeList, toWireServer, decodeList } from './server-wire-format.js';
import { compressBytes, decompressBytes } from './byte-encoding.js';
import type { Peer } from './peer-list.js';
import type {
  PeerMessage,
  StateFragmentMessage,
  StateRequestMessage,
  ListDeltaMessage,
} from './peer-messages.js';
import { FragmentAssembler, splitIntoFragments } from './fragments.js';
import type { StoreVersions, StoreSyncState } from './store-sync-state.js';

/** Dependencies of `StoreStateExchange`. */
export interface StoreStateExchangeParts extends ExchangeParts {
  readonly log: Log;
  readonly syncState: StoreSyncState;
  /** Called when a configuration or server list from `host` was applied. */
  readonly onApplied: (host: string) => void;
  /** Called after the server list was sent to a peer that requested it. */
  readonly onListSent: (peer: Peer) => void;
}

type Subject = StateFragmentMessage['subject'];

interface EncodedState {
  readonly version: number;
  readonly fragments: readonly Uint8Array[];
}

/** Minimum interval between requests for newer state; an answer takes a few milliseconds. */
const MIN_REQUEST_INTERVAL_MS: Milliseconds = 250;
/**
 * A delta of more servers is sent as the whole list, which is compressed and sent in fragments: 256
 * servers take 15 KB uncompressed. A reader that has just started has a delta of all servers; with
 * more than 1,150 of them it exceeded a datagram, which the operating system does not send.
 */
const MAX_DELTA_SERVERS = 256;

/**
 * Distributes the configuration and the server list that were read from the store. A store reader
 * sends them to one host of each availability zone, which forwards them there, so that no host
 * sends to all and each zone receives them once; of the server list only the delta is sent, unless it
 * is large. A host that misses a message notices by the next heartbeat, and requests the whole configuration or
 * list from the peer that sent the heartbeat.
 */
export class StoreStateExchange {
  readonly #assembler = new FragmentAssembler();
  /** Encoded once for all peers that request it. */
  readonly #encoded = new Map<Subject, EncodedState>();
  #requestedAtMs = Number.NEGATIVE_INFINITY;
  #publishedVersion = 0;
  #publishedDigest = '';

  constructor(readonly parts: StoreStateExchangeParts) {}

  /** Broadcasts what this host knows and has neither sent nor received before. */
  publish(): void {
    const { ownVersions, listed, previousList } = this.parts.syncState;
    const isListNew = ownVersions.listDigest !== this.#publishedDigest;
    const isConfigurationNew = ownVersions.configurationVersion > this.#publishedVersion;
    this.#markPublished();
    const zoneForwarders = this.parts.peers.otherZoneForwarders();
    const ownZonePeers = this.parts.peers.ownZonePeers();
    if (isConfigurationNew) {
      this.#sendState('configuration', zoneForwarders, true);
      this.#sendState('configuration', ownZonePeers, false);
    }
    if (!isListNew) return;
    const change = diffLists(previousList, listed, ownVersions.listDigest);
    if (change.servers.length + change.goneIds.length > MAX_DELTA_SERVERS) {
      this.#sendState('list', zoneForwarders, true);
      this.#sendState('list', ownZonePeers, false);
      return;
    }
    this.parts.send(zoneForwarders, this.#deltaMessage(change, true));
    this.parts.send(ownZonePeers, this.#deltaMessage(change, false));
  }

  /**
   * Compares the versions that a peer reports with this host's, and requests what is newer from it.
   */
  onVersions(peer: Peer, word: StoreVersions): void {
    const { clock, syncState, senderFields } = this.parts;
    const { ownVersions } = syncState;
    const isConfigurationNewer = word.configurationVersion > ownVersions.configurationVersion;
    const isListNewer =
      word.listDigest !== ownVersions.listDigest && word.listVersion > ownVersions.listVersion;
    if (!isConfigurationNewer && !isListNewer) return;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#requestedAtMs < MIN_REQUEST_INTERVAL_MS) return;
    this.#requestedAtMs = nowMs;
    this.parts.send([peer], { kind: 'want', ...senderFields(), ...ownVersions });
  }

  /** Sends a peer the state that it lacks. */
  onStateRequest(peer: Peer, want: StateRequestMessage): void {
    const { ownVersions } = this.parts.syncState;
    if (ownVersions.configurationVersion > want.configurationVersion) {
      this.#sendState('configuration', [peer], false);
    }
    if (ownVersions.listDigest !== want.listDigest && ownVersions.listVersion > want.listVersion) {
      this.#sendState('list', [peer], false);
      this.parts.onListSent(peer);
    }
  }

  /** Bytes of payloads of which fragments are missing. */
  get heldBytes(): number {
    return this.#assembler.heldBytes;
  }

  /** Adds a fragment, and applies the configuration or server list once it is complete. */
  onFragment(told: StateFragmentMessage): void {
    const { host, incarnation, subject, version, index, count, bytes } = told;
    if (this.#isKnownVersion(subject, version)) return;
    // The rest is under way, so a request would only have all of it sent once more.
    this.#requestedAtMs = this.parts.clock.monotonicMs();
    const name = `${host} ${incarnation} ${subject} ${String(version)}`;
    const payload = this.#assembler.add({ name, index, count, bytes });
    if (!payload || !this.#apply(told, payload)) return;
    this.parts.onApplied(host);
    if (told.passOn) this.#sendState(subject, this.parts.peers.ownZonePeers(), false);
  }

  /** Applies a server list delta if this host has the list that it is based on. */
  onListDelta(message: ListDeltaMessage): void {
    const { syncState, peers } = this.parts;
    if (message.digest === syncState.ownVersions.listDigest) return;
    const { fromDigest, digest, version, graceMs, goneIds } = message;
    const servers = message.servers.map(fromWireServer);
    const change: ListDelta = { fromDigest, digest, version, graceMs, servers, goneIds };
    const list = applyListDelta(syncState.ownVersions, syncState.listed, change);
    if (!list || !syncState.applyList(list)) return;
    this.#markPublished();
    if (message.passOn) this.parts.send(peers.ownZonePeers(), this.#deltaMessage(change, false));
  }

  #isKnownVersion(subject: Subject, version: number): boolean {
    const { configurationVersion, listVersion } = this.parts.syncState.ownVersions;
    return version <= (subject === 'configuration' ? configurationVersion : listVersion);
  }

  /** Returns false if the bytes can't be decoded, or hold nothing newer than what is known. */
  #apply({ subject, version }: StateFragmentMessage, packed: Buffer): boolean {
    const isApplied =
      subject === 'configuration'
        ? this.#applyConfiguration(packed, version)
        : this.#applyList(packed);
    this.#markPublished();
    if (!isApplied) this.parts.log.warn('news_not_taken', { subject, bytes: packed.length });
    return isApplied;
  }

  #applyConfiguration(packed: Buffer, version: number): boolean {
    const bytes = decompressBytes(packed);
    return bytes !== undefined && this.parts.syncState.applyConfiguration(bytes, version);
  }

  #applyList(packed: Buffer): boolean {
    const list = decodeList(packed);
    return list !== undefined && this.parts.syncState.applyList(list);
  }

  /** Records that the current state was sent or received, so that it is not broadcast again. */
  #markPublished(): void {
    const { configurationVersion, listDigest } = this.parts.syncState.ownVersions;
    this.#publishedVersion = configurationVersion;
    this.#publishedDigest = listDigest;
  }

  #deltaMessage(change: ListDelta, passOn: boolean): PeerMessage {
    const servers = change.servers.map(toWireServer);
    const graceMs = Math.round(change.graceMs);
    const goneIds = [...change.goneIds];
    return {
      kind: 'list_change',
      ...this.parts.senderFields(),
      ...change,
      graceMs,
      servers,
      goneIds,
      passOn,
    };
  }

  #sendState(subject: Subject, peers: readonly Peer[], passOn: boolean): void {
    const packed = this.#encode(subject);
    if (!packed || peers.length === 0) return;
    const { version, fragments } = packed;
    const count = fragments.length;
    fragments.forEach((bytes, index) => {
      const told = { subject, version, index, count, bytes, passOn };
      this.parts.send(peers, { kind: 'told', ...this.parts.senderFields(), ...told });
    });
  }

  #encode(subject: Subject): EncodedState | undefined {
    const { ownVersions, listed, configurationBytes } = this.parts.syncState;
    const version =
      subject === 'configuration' ? ownVersions.configurationVersion : ownVersions.listVersion;
    const known = this.#encoded.get(subject);
    if (known?.version === version) return known;
    const bytes =
      subject === 'list'
        ? encodeList(listed)
        : configurationBytes && compressBytes(configurationBytes);
    if (!bytes) return undefined;
    const packed = { version, fragments: splitIntoFragments(bytes) };
    this.#encoded.set(subject, packed);
    return packed;
  }
}
