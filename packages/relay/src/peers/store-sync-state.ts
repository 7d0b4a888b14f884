import type { Clock, Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import type { ActiveConfiguration, Freshness } from '@poppypond/routing';
import type { DigestedList } from '../store/list-delta.js';
import type { ServerListSnapshot, ServerList } from '../store/server-list.js';

/** Versions of the configuration and the server list that a host has. */
export interface StoreVersions {
  readonly configurationVersion: number;
  readonly listDigest: string;
  /** Increases with every change in the store. */
  readonly listVersion: number;
}

/**
 * Store versions, with the times on this process's clock at which each was the newest; undefined
 * for never.
 */
export interface DatedStoreVersions extends StoreVersions {
  readonly configurationAtMs: Milliseconds | undefined;
  readonly listAtMs: Milliseconds | undefined;
}

/** After a failed call, other hosts read the store for this long before this one tries again. */
const STORE_LOST_FOR_MS: Milliseconds = 3000;

/** Dependencies of `StoreSyncState`. */
export interface StoreSyncStateParts {
  readonly clock: Clock;
  readonly activeConfiguration: ActiveConfiguration;
  readonly freshness: Freshness;
  readonly list: ServerList;
}

/**
 * Compares the store versions that this host has with those of its peers. A peer that has the same
 * versions confirms that they are recent; one that has newer ones is a reason to read the store.
 */
export class StoreSyncState {
  /**
   * The newest configuration version that a peer has reported, and when, on this process's clock.
   */
  #newestPeerConfiguration = { version: 0, atMs: 0 };
  /**
   * The newest version that a peer has reported for a server list with another digest than this
   * host's.
   */
  #newestOtherListVersion = 0;
  /**
   * Since when a peer is known to have newer state, on this process's clock; undefined if none has.
   */
  #behindSinceMs: Milliseconds | undefined;
  #storeFailedAtMs: Milliseconds | undefined;
  #onRefreshNeeded: () => void = () => undefined;
  #onConfigurationReceived: (bytes: Buffer) => void = () => undefined;
  #configurationBytes: Buffer | undefined;

  constructor(readonly parts: StoreSyncStateParts) {}

  /** Whether this host's last call to the store failed recently. */
  get isStoreLost(): boolean {
    if (this.#storeFailedAtMs === undefined) return false;
    return this.parts.clock.monotonicMs() - this.#storeFailedAtMs < STORE_LOST_FOR_MS;
  }

  /** Records that a call to the store failed. */
  onStoreFailure(): void {
    this.#storeFailedAtMs = this.parts.clock.monotonicMs();
  }

  /** The server list, which this host sends to its peers when it has changed. */
  get listed(): ServerListSnapshot {
    return this.parts.list.listed;
  }

  /** The versions that this host reports to its peers. */
  get ownVersions(): StoreVersions {
    const { activeConfiguration, list } = this.parts;
    return {
      configurationVersion: activeConfiguration.version,
      listDigest: list.digest,
      listVersion: list.listed.version,
    };
  }

  /** Time since the configuration was confirmed to be the newest; infinite before that. */
  get configurationAgeMs(): Milliseconds {
    return this.parts.freshness.ageMs();
  }

  /** Time since the server list was confirmed to be the newest; infinite before that. */
  get listAgeMs(): Milliseconds {
    return this.parts.list.freshness.ageMs();
  }

  /** Whether a peer has a newer configuration. */
  get isConfigurationBehind(): boolean {
    return this.#newestPeerConfiguration.version > this.parts.activeConfiguration.version;
  }

  /** Whether a peer has a newer server list. */
  get isListBehind(): boolean {
    return this.#newestOtherListVersion > this.parts.list.listed.version;
  }

  /** `callback` is called when a peer has newer state, or the store can be reached again. */
  onRefreshNeeded(callback: () => void): void {
    this.#onRefreshNeeded = callback;
  }

  /** `callback` applies a configuration that was received from a peer. */
  onConfigurationReceived(callback: (bytes: Buffer) => void): void {
    this.#onConfigurationReceived = callback;
  }

  /** The active configuration as the store keeps it; undefined before the first. */
  get configurationBytes(): Buffer | undefined {
    return this.#configurationBytes;
  }

  /** Records the configuration that has become active. */
  onConfigurationActivated(bytes: Buffer): void {
    this.#configurationBytes = bytes;
  }

  /** How long a peer has been known to have newer state than this host; 0 if none has. */
  get behindForMs(): Milliseconds {
    if (!this.isConfigurationBehind && !this.isListBehind) this.#behindSinceMs = undefined;
    if (this.#behindSinceMs === undefined) return 0;
    return this.parts.clock.monotonicMs() - this.#behindSinceMs;
  }

  /** The server list before its last change. */
  get previousList(): DigestedList {
    return this.parts.list.previousList;
  }

  /** Applies a configuration that a peer has read. Returns false if it is invalid or not newer. */
  applyConfiguration(bytes: Buffer, configurationVersion: number): boolean {
    const before = this.parts.activeConfiguration.version;
    this.#onConfigurationReceived(bytes);
    this.#recordConfigurationVersion(configurationVersion);
    this.#notifyIfBehind();
    return this.parts.activeConfiguration.version > before;
  }

  /** Applies a server list that a peer has read. Returns false if it is not newer. */
  applyList(list: ServerListSnapshot): boolean {
    const before = this.ownVersions.listVersion;
    this.parts.list.adopt(list);
    return this.ownVersions.listVersion > before;
  }

  /**
   * Records that a listed server is gone, as `host` reports. Returns false if that changes nothing.
   */
  onServerGone(server: BackendServer, host: string): boolean {
    return this.parts.list.onGone(server, host);
  }

  #recordConfigurationVersion(version: number): void {
    if (version <= this.#newestPeerConfiguration.version) return;
    this.#newestPeerConfiguration = { version, atMs: this.parts.clock.monotonicMs() };
  }

  /** Records the version of a list that differs from this host's; an older one has no effect. */
  #recordListVersion({ listDigest, listVersion }: StoreVersions): void {
    if (listDigest === this.parts.list.digest) return;
    this.#newestOtherListVersion = Math.max(this.#newestOtherListVersion, listVersion);
  }

  #notifyIfBehind(): void {
    if (!this.isConfigurationBehind && !this.isListBehind) return;
    this.#behindSinceMs ??= this.parts.clock.monotonicMs();
    this.#onRefreshNeeded();
  }

  /** Compares the versions that a peer reports without the times at which they were the newest. */
  onPeerVersions(word: StoreVersions): void {
    this.#recordConfigurationVersion(word.configurationVersion);
    this.#recordListVersion(word);
    this.#notifyIfBehind();
  }

  /**
   * Compares the versions that a peer reports; equal ones confirm this host's as of the peer's
   * times.
   */
  onDatedPeerVersions(word: DatedStoreVersions): void {
    const { activeConfiguration, freshness, list } = this.parts;
    this.#recordConfigurationVersion(word.configurationVersion);
    if (
      word.configurationVersion === activeConfiguration.version &&
      word.configurationAtMs !== undefined
    ) {
      freshness.confirm(word.configurationAtMs);
    }
    if (word.listAtMs !== undefined) {
      if (word.listDigest === list.digest) list.confirm(word.listAtMs);
      else this.#recordListVersion(word);
    }
    this.#notifyIfBehind();
  }

  /**
   * Records that the store, queried at `askedAtMs`, has returned the configuration that was the
   * newest then.
   */
  onConfigurationRead(askedAtMs: Milliseconds): void {
    const wasLost = this.#storeFailedAtMs !== undefined;
    this.#storeFailedAtMs = undefined;
    if (this.#newestPeerConfiguration.atMs <= askedAtMs)
      this.#newestPeerConfiguration = { version: 0, atMs: askedAtMs };
    if (wasLost) this.#onRefreshNeeded();
  }

  /** Records that the store has returned the server list. */
  onListRead(): void {
    this.#storeFailedAtMs = undefined;
  }
}
