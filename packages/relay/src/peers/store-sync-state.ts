import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { ActiveConfiguration, Freshness } from '@poppypond/routing';
import type { DigestedList } from '../store/list-delta.js';
import type { ServerListSnapshot, ServerList } from '../store/server-list.js';

/** What a peer said it knows of the store. */
export interface StoreVersions {
  readonly configurationVersion: number;
  readonly listDigest: string;
  /** Rises with every change in the store. */
  readonly listVersion: number;
}

/** The same, with instants of this process's clock at which it held, or undefined for never. */
export interface DatedStoreVersions extends StoreVersions {
  readonly configurationAtMs: Milliseconds | undefined;
  readonly listAtMs: Milliseconds | undefined;
}

/** After a failed call, others read the store for this long before this host is tried again. */
const STORE_LOST_FOR_MS: Milliseconds = 3000;

/** What the comparison needs. */
export interface StoreSyncStateParts {
  readonly clock: Clock;
  readonly inForce: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly list: ServerList;
}

/**
 * What this host knows of the store, compared with what peers know. A peer that knows the same
 * proves it to be recent; one that knows something else is a reason to ask the store.
 */
export class StoreSyncState {
  /** The newest version that a peer has told of, and when it did, on this process's clock. */
  #newestPeerConfiguration = { version: 0, atMs: 0 };
  /** The newest version of another list than this host's that a peer has told of. */
  #newestOtherListVersion = 0;
  /** Since when a peer was known to know more, on this process's clock; undefined while none does. */
  #behindSinceMs: Milliseconds | undefined;
  #storeFailedAtMs: Milliseconds | undefined;
  #onRefreshNeeded: () => void = () => undefined;
  #onConfigurationReceived: (bytes: Buffer) => void = () => undefined;
  #configurationBytes: Buffer | undefined;

  constructor(readonly parts: StoreSyncStateParts) {}

  /** Whether this host's last call to the store, not long ago, had no result. */
  get isStoreLost(): boolean {
    if (this.#storeFailedAtMs === undefined) return false;
    return this.parts.clock.monotonicMs() - this.#storeFailedAtMs < STORE_LOST_FOR_MS;
  }

  /** A call to the store had no result. */
  onStoreFailure(): void {
    this.#storeFailedAtMs = this.parts.clock.monotonicMs();
  }

  /** The list of servers that this host tells its peers when it has changed. */
  get listed(): ServerListSnapshot {
    return this.parts.list.listed;
  }

  /** What this host tells its peers. */
  get ownVersions(): StoreVersions {
    const { inForce, list } = this.parts;
    return {
      configurationVersion: inForce.version,
      listDigest: list.digest,
      listVersion: list.listed.version,
    };
  }

  /** Time since the configuration was proved the newest; infinite before that. */
  get configurationAgeMs(): Milliseconds {
    return this.parts.freshness.ageMs();
  }

  /** Time since the list of servers was proved the newest; infinite before that. */
  get listAgeMs(): Milliseconds {
    return this.parts.list.freshness.ageMs();
  }

  /** Whether a peer knows a newer configuration. */
  get isConfigurationBehind(): boolean {
    return this.#newestPeerConfiguration.version > this.parts.inForce.version;
  }

  /** Whether a peer knows a newer list of servers. */
  get isListBehind(): boolean {
    return this.#newestOtherListVersion > this.parts.list.listed.version;
  }

  /** `callback` is called when a peer is found to know more, or the store is back. */
  onRefreshNeeded(callback: () => void): void {
    this.#onRefreshNeeded = callback;
  }

  /** `callback` takes in a newer configuration that a peer has told. */
  onConfigurationReceived(callback: (bytes: Buffer) => void): void {
    this.#onConfigurationReceived = callback;
  }

  /** The configuration in force, as the store keeps it; undefined before the first. */
  get configurationBytes(): Buffer | undefined {
    return this.#configurationBytes;
  }

  /** A configuration was put in force. */
  onConfigurationActivated(bytes: Buffer): void {
    this.#configurationBytes = bytes;
  }

  /** Time since which a peer has known more than this host; 0 where none does. */
  get behindForMs(): Milliseconds {
    if (!this.isConfigurationBehind && !this.isListBehind) this.#behindSinceMs = undefined;
    if (this.#behindSinceMs === undefined) return 0;
    return this.parts.clock.monotonicMs() - this.#behindSinceMs;
  }

  /** The list of servers before its last change. */
  get previousList(): DigestedList {
    return this.parts.list.previousList;
  }

  /** Takes in a configuration that a peer has read; false where it is none or no newer. */
  applyConfiguration(bytes: Buffer, configurationVersion: number): boolean {
    const before = this.parts.inForce.version;
    this.#onConfigurationReceived(bytes);
    this.#recordConfigurationVersion(configurationVersion);
    this.#notifyIfBehind();
    return this.parts.inForce.version > before;
  }

  /** Takes in a list of servers that a peer has read; false where it is no newer. */
  applyList(list: ServerListSnapshot): boolean {
    const before = this.ownVersions.listVersion;
    this.parts.list.adopt(list);
    return this.ownVersions.listVersion > before;
  }

  /** Takes in that a listed server is gone, by the word of `host`; false where that is nothing new. */
  onServerGone(server: BackendServer, host: string): boolean {
    return this.parts.list.onGone(server, host);
  }

  #recordConfigurationVersion(version: number): void {
    if (version <= this.#newestPeerConfiguration.version) return;
    this.#newestPeerConfiguration = { version, atMs: this.parts.clock.monotonicMs() };
  }

  /** An older list than this host's own says nothing. */
  #recordListVersion({ listDigest, listVersion }: StoreVersions): void {
    if (listDigest === this.parts.list.digest) return;
    this.#newestOtherListVersion = Math.max(this.#newestOtherListVersion, listVersion);
  }

  #notifyIfBehind(): void {
    if (!this.isConfigurationBehind && !this.isListBehind) return;
    this.#behindSinceMs ??= this.parts.clock.monotonicMs();
    this.#onRefreshNeeded();
  }

  /** Takes in what a peer knows, without the instants at which it held. */
  onPeerVersions(word: StoreVersions): void {
    this.#recordConfigurationVersion(word.configurationVersion);
    this.#recordListVersion(word);
    this.#notifyIfBehind();
  }

  /** Takes in what a peer knew at instants of this process's clock. */
  onDatedPeerVersions(word: DatedStoreVersions): void {
    const { inForce, freshness, list } = this.parts;
    this.#recordConfigurationVersion(word.configurationVersion);
    if (word.configurationVersion === inForce.version && word.configurationAtMs !== undefined) {
      freshness.confirm(word.configurationAtMs);
    }
    if (word.listAtMs !== undefined) {
      if (word.listDigest === list.digest) list.confirm(word.listAtMs);
      else this.#recordListVersion(word);
    }
    this.#notifyIfBehind();
  }

  /** The store, asked at `askedAtMs`, has told the newest configuration of then. */
  onConfigurationRead(askedAtMs: Milliseconds): void {
    const wasLost = this.#storeFailedAtMs !== undefined;
    this.#storeFailedAtMs = undefined;
    if (this.#newestPeerConfiguration.atMs <= askedAtMs)
      this.#newestPeerConfiguration = { version: 0, atMs: askedAtMs };
    if (wasLost) this.#onRefreshNeeded();
  }

  /** The store has told its list. */
  onListRead(): void {
    this.#storeFailedAtMs = undefined;
  }
}
