import type { Milliseconds } from '@poppypond/core';
import type { Log } from '@poppypond/telemetry';
import { diffLists, applyListDelta } from '../store/list-delta.js';
import type { ListDelta } from '../store/list-delta.js';
import type { ExchangeParts } from './exchange-parts.js';
import { fromWireServer, packList, toWireServer, unpackList } from './list-on-the-wire.js';
import { packBytes, unpackBytes } from './packed-bytes.js';
import type { Peer } from './peer-list.js';
import type { PeerMessage, Told, Want, WireListChange } from './peer-messages.js';
import { PieceCollector, splitPieces } from './pieces.js';
import type { StoreVersions, StoreSyncState } from './store-sync-state.js';

/** What the exchange of news needs. */
export interface NewsParts extends ExchangeParts {
  readonly log: Log;
  readonly knowledge: StoreSyncState;
  /** Called when something that `host` has told was taken in. */
  readonly onTaken: (host: string) => void;
}

type Subject = Told['subject'];

interface Packed {
  readonly version: number;
  readonly pieces: readonly Uint8Array[];
}

/** A host that lacks something asks no more often than this; an answer takes a few milliseconds. */
const WANT_AGAIN_MS: Milliseconds = 250;

/**
 * Tells hosts what the store has told. A host that reads the store tells one host of each
 * availability zone, which passes it on there, so that no host sends to all and each zone gets it
 * once; of the list of servers only what has changed. Whoever misses it hears of it with the next
 * heartbeat, and asks the peer that said so for the whole.
 */
export class News {
  readonly #collector = new PieceCollector();
  /** Packed once for all that want it. */
  readonly #packed = new Map<Subject, Packed>();
  #wantedAtMs = Number.NEGATIVE_INFINITY;
  #toldVersion = 0;
  #toldDigest = '';

  constructor(readonly parts: NewsParts) {}

  /** Tells all what this host knows and has neither told nor heard before. */
  tell(): void {
    const { own, listed, listedBefore } = this.parts.knowledge;
    const isListNew = own.listDigest !== this.#toldDigest;
    const isConfigurationNew = own.configurationVersion > this.#toldVersion;
    this.#noteTold();
    const zoneFirsts = this.parts.peers.firstOfOtherZones();
    const zoneHosts = this.parts.peers.inOwnZone();
    if (isConfigurationNew) {
      this.#sendWhole('configuration', zoneFirsts, true);
      this.#sendWhole('configuration', zoneHosts, false);
    }
    if (!isListNew) return;
    const change = diffLists(listedBefore, listed, own.listDigest);
    this.parts.send(zoneFirsts, this.#changeMessage(change, true));
    this.parts.send(zoneHosts, this.#changeMessage(change, false));
  }

  /** A peer has said what it knows; it is asked for what this host lacks. */
  onWord(peer: Peer, word: StoreVersions): void {
    const { clock, knowledge, selfFields } = this.parts;
    const { own } = knowledge;
    const isConfigurationNewer = word.configurationVersion > own.configurationVersion;
    const isListNewer = word.listDigest !== own.listDigest && word.listVersion > own.listVersion;
    if (!isConfigurationNewer && !isListNewer) return;
    const nowMs = clock.monotonicMs();
    if (nowMs - this.#wantedAtMs < WANT_AGAIN_MS) return;
    this.#wantedAtMs = nowMs;
    this.parts.send([peer], { kind: 'want', ...selfFields(), ...own });
  }

  /** Tells a peer what it lacks. */
  onWant(peer: Peer, want: Want): void {
    const { own } = this.parts.knowledge;
    if (own.configurationVersion > want.configurationVersion) {
      this.#sendWhole('configuration', [peer], false);
    }
    if (own.listDigest !== want.listDigest && own.listVersion > want.listVersion) {
      this.#sendWhole('list', [peer], false);
    }
  }

  /** Takes in a piece of what a peer tells. */
  onTold(told: Told): void {
    const { host, incarnation, subject, version, index, count, bytes } = told;
    if (this.#isKnown(subject, version)) return;
    const name = `${host} ${incarnation} ${subject} ${String(version)}`;
    const whole = this.#collector.add({ name, index, count, bytes });
    if (!whole || !this.#takeWhole(told, whole)) return;
    this.parts.onTaken(host);
    if (told.passOn) this.#sendWhole(subject, this.parts.peers.inOwnZone(), false);
  }

  /** Takes in a change of the list of servers, where this host knows the list before it. */
  onListChange(message: WireListChange): void {
    const { knowledge, peers } = this.parts;
    if (message.digest === knowledge.own.listDigest) return;
    const { fromDigest, digest, version, graceMs, goneIds } = message;
    const servers = message.servers.map(fromWireServer);
    const change: ListDelta = { fromDigest, digest, version, graceMs, servers, goneIds };
    const list = applyListDelta(knowledge.own, knowledge.listed, change);
    if (!list || !knowledge.hearList(list)) return;
    this.#noteTold();
    if (message.passOn) this.parts.send(peers.inOwnZone(), this.#changeMessage(change, false));
  }

  #isKnown(subject: Subject, version: number): boolean {
    const { configurationVersion, listVersion } = this.parts.knowledge.own;
    return version <= (subject === 'configuration' ? configurationVersion : listVersion);
  }

  /** False where it can't be read or is no newer than what is known. */
  #takeWhole({ subject, version }: Told, packed: Buffer): boolean {
    const isTaken =
      subject === 'configuration'
        ? this.#takeConfiguration(packed, version)
        : this.#takeList(packed);
    this.#noteTold();
    if (!isTaken) this.parts.log.warn('news_not_taken', { subject, bytes: packed.length });
    return isTaken;
  }

  #takeConfiguration(packed: Buffer, version: number): boolean {
    const bytes = unpackBytes(packed);
    return bytes !== undefined && this.parts.knowledge.hearConfiguration(bytes, version);
  }

  #takeList(packed: Buffer): boolean {
    const list = unpackList(packed);
    return list !== undefined && this.parts.knowledge.hearList(list);
  }

  /** What this host has told or heard is told no more. */
  #noteTold(): void {
    const { configurationVersion, listDigest } = this.parts.knowledge.own;
    this.#toldVersion = configurationVersion;
    this.#toldDigest = listDigest;
  }

  #changeMessage(change: ListDelta, passOn: boolean): PeerMessage {
    const servers = change.servers.map(toWireServer);
    const graceMs = Math.round(change.graceMs);
    const goneIds = [...change.goneIds];
    return {
      kind: 'list_change',
      ...this.parts.selfFields(),
      ...change,
      graceMs,
      servers,
      goneIds,
      passOn,
    };
  }

  #sendWhole(subject: Subject, peers: readonly Peer[], passOn: boolean): void {
    const packed = this.#pack(subject);
    if (!packed || peers.length === 0) return;
    const { version, pieces } = packed;
    const count = pieces.length;
    pieces.forEach((bytes, index) => {
      const told = { subject, version, index, count, bytes, passOn };
      this.parts.send(peers, { kind: 'told', ...this.parts.selfFields(), ...told });
    });
  }

  #pack(subject: Subject): Packed | undefined {
    const { own, listed, configurationBytes } = this.parts.knowledge;
    const version = subject === 'configuration' ? own.configurationVersion : own.listVersion;
    const known = this.#packed.get(subject);
    if (known?.version === version) return known;
    const bytes =
      subject === 'list' ? packList(listed) : configurationBytes && packBytes(configurationBytes);
    if (!bytes) return undefined;
    const packed = { version, pieces: splitPieces(bytes) };
    this.#packed.set(subject, packed);
    return packed;
  }
}
