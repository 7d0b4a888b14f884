import type { Clock, Milliseconds } from '@poppypond/core';
import { EvacuatedZones, isSameIncarnation, LeavingIncarnations } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { Freshness } from '@poppypond/routing';
import type { Log } from '@poppypond/telemetry';
import { createHash } from 'node:crypto';
import { IncarnationWatchers } from './incarnation-watchers.js';
import { canonicalLine } from './list-delta.js';
import type { DigestedList } from './list-delta.js';
import { ServerIncarnations } from './server-incarnations.js';

/**
 * Entries that expired during a store outage are listed again within this time after its end, or
 * are gone.
 */
const RECOVERY_GRACE_MS: Milliseconds = 2000;
/**
 * A list that was confirmed this recently was known throughout, by peers if not by this host, so
 * that none of its entries expired unnoticed: entries expire after about four seconds without a
 * heartbeat.
 */
const KNOWN_THROUGHOUT_MS: Milliseconds = 2000;
/**
 * An incarnation is remembered for this long after its entry has expired; requests that depend on
 * it end earlier.
 */
const EXPIRED_RETENTION_MS: Milliseconds = 30_000;
const DIGEST_LENGTH = 10;

function byId(left: BackendServer, right: BackendServer): number {
  return left.id < right.id ? -1 : 1;
}

function digestOf(listed: readonly BackendServer[]): string {
  const lines = listed.map(canonicalLine).sort();
  return createHash('sha1').update(lines.join('\n')).digest('base64url').slice(0, DIGEST_LENGTH);
}

/** The store's server list at one version. */
export interface ServerListSnapshot {
  readonly servers: readonly BackendServer[];
  /** Increases with every change in the store. */
  readonly version: number;
  /** How long entries that expired during an outage may still be listed again. */
  readonly graceMs: Milliseconds;
}

/** The backend servers that may take work, according to the store and to the servers themselves. */
export class ServerList {
  readonly #servers = new Map<string, BackendServer>();
  /**
   * Incarnations known to be gone, by id: they reported it themselves, or another server has
   * their address.
   */
  readonly #gone = new Map<string, BackendServer>();
  readonly #incarnations = new ServerIncarnations();
  readonly #leaving = new LeavingIncarnations();
  /** Last incarnation of servers that are no longer listed, by id, and when they expired. */
  readonly #expired = new Map<
    string,
    { readonly server: BackendServer; readonly atMs: Milliseconds }
  >();
  readonly #watchers = new IncarnationWatchers();
  #onNewIncarnation: (server: BackendServer) => void = () => undefined;
  #onAppeared: (server: BackendServer, isOwnReport: boolean) => void = () => undefined;
  readonly #byService = new Map<string, readonly BackendServer[]>();
  #wasStoreUnavailable = false;
  #graceUntilMs: Milliseconds = Number.NEGATIVE_INFINITY;
  #isKnown = false;
  #keepsUnlisted = false;
  #digest = '';
  #listed: readonly BackendServer[] = [];
  #previousList: DigestedList = { digest: '', servers: [] };
  #version = 0;
  /** How recently the list was confirmed to be the store's. */
  readonly freshness: Freshness;

  constructor(
    readonly clock: Clock,
    readonly log: Log,
    /**
     * How long a server that announced that it leaves may be sent requests that no other server can
     * take.
     */
    readonly lastResortMs: Milliseconds = 0,
    /** Availability zones whose servers accept no new work. */
    readonly evacuatedZones = new EvacuatedZones(),
  ) {
    this.freshness = new Freshness(clock);
    evacuatedZones.onChange(() => {
      this.#byService.clear();
    });
  }

  /** Digest of the list that the store returned last. */
  get digest(): string {
    return this.#digest;
  }

  /** The list that the store returned last. */
  get listed(): ServerListSnapshot {
    const graceMs = Math.max(0, this.#graceUntilMs - this.clock.monotonicMs());
    return { servers: this.#listed, version: this.#version, graceMs };
  }

  /** The list before its last change. */
  get previousList(): DigestedList {
    return this.#previousList;
  }

  /**
   * Whether a list has been received at least once, from the store or from a peer that has read it.
   */
  get isKnown(): boolean {
    return this.#isKnown;
  }

  get size(): number {
    return this.#servers.size;
  }

  /**
   * Whether entries are kept that the store did not list, so that the store has to be read again.
   */
  get keepsUnlisted(): boolean {
    return this.#keepsUnlisted;
  }

  /** Records that the store did not respond; entries of running servers may expire there. */
  onStoreUnavailable(): void {
    this.#wasStoreUnavailable = true;
  }

  /** Applies the store's whole list, requested at `askedAtMs`. */
  replace(listed: readonly BackendServer[], askedAtMs: Milliseconds, version: number): void {
    const unconfirmedMs = this.freshness.ageMs();
    this.freshness.confirm(askedAtMs);
    const isRecovery =
      this.#wasStoreUnavailable && this.#isKnown && unconfirmedMs > KNOWN_THROUGHOUT_MS;
    if (isRecovery) this.#graceUntilMs = this.clock.monotonicMs() + RECOVERY_GRACE_MS;
    this.#wasStoreUnavailable = false;
    // A peer may have sent a newer list while this response was in transit.
    if (this.#isKnown && version < this.#version) return;
    this.#apply(listed, version);
  }

  /** Applies a list that a peer has read, if it is newer. Does not confirm how recent it is. */
  adopt({ servers, version, graceMs }: ServerListSnapshot): void {
    if (this.#isKnown && version <= this.#version) return;
    // The peer has read the store since, so its grace period for expired entries applies.
    this.#wasStoreUnavailable = false;
    const graceUntilMs = this.clock.monotonicMs() + graceMs;
    if (graceMs > 0) this.#graceUntilMs = Math.max(this.#graceUntilMs, graceUntilMs);
    this.#apply(servers, version);
  }

  /**
   * Confirms, on a peer's report, that the list was the store's at `confirmedAtMs`. Entries that
   * were kept because they might be listed again are dropped once that is after their grace period.
   */
  confirm(confirmedAtMs: Milliseconds): void {
    this.freshness.confirm(confirmedAtMs);
    const isGraceOver = this.#keepsUnlisted && confirmedAtMs >= this.#graceUntilMs;
    if (isGraceOver || this.#incarnations.hasPendingChange)
      this.#apply(this.#listed, this.#version);
    else this.#reconcileLeaving();
  }

  /** `callback` receives each server that restarts under its id, before anyone else is notified. */
  onNewIncarnation(callback: (server: BackendServer) => void): void {
    this.#onNewIncarnation = callback;
  }

  /**
   * `callback` receives each incarnation that appears in a list that was known before.
   * `isOwnReport`: whether this host learned of it from the server's answer and not from the list.
   */
  onAppeared(callback: (server: BackendServer, isOwnReport: boolean) => void): void {
    this.#onAppeared = callback;
  }

  /**
   * Calls `onEnded` once another incarnation of `server` is known; the returned function cancels
   * that.
   */
  watchIncarnation(server: BackendServer, onEnded: () => void): () => void {
    return this.#watchers.add(server, onEnded);
  }

  /** Records the start time that a server reported; `queried` is its entry when it was queried. */
  onStartTime(queried: BackendServer, startedAtMs: Milliseconds): void {
    const known = this.#servers.get(queried.id);
    const current = known && this.#incarnations.applyReportedStart(known, queried, startedAtMs);
    if (current) this.#put(current, 'its_answer');
  }

  #apply(listed: readonly BackendServer[], version: number): void {
    const nowMs = this.clock.monotonicMs();
    const digest = digestOf(listed);
    if (digest !== this.#digest)
      this.#previousList = { digest: this.#digest, servers: this.#listed };
    this.#digest = digest;
    this.#listed = listed;
    this.#version = version;
    const isFirst = !this.#isKnown;
    this.#isKnown = true;
    const listedIds = new Set(listed.map((server) => server.id));
    const isGrace = nowMs < this.#graceUntilMs;
    this.#keepsUnlisted = false;
    for (const id of [...this.#servers.keys()]) {
      if (listedIds.has(id)) continue;
      if (isGrace) {
        this.#keepsUnlisted = true;
        continue;
      }
      this.#expire(id, nowMs);
      this.log.warn('server_gone', { server: id, why: 'not_listed' });
    }
    if (isFirst) this.#logFirst(listed, version);
    for (const server of listed) {
      const current = this.#incarnations.choose(this.#servers.get(server.id), server, nowMs);
      this.#put(current, 'its_entry', isFirst);
    }
    this.#forgetExpired(nowMs);
    this.#reconcileLeaving();
    for (const id of this.#gone.keys()) if (!listedIds.has(id)) this.#gone.delete(id);
    this.#byService.clear();
  }

  /**
   * Records that a server is gone, as reported to the host `reportedBy` by the server itself or by
   * the server that has its address now. Returns false if that was known.
   */
  onGone(server: BackendServer, reportedBy: string): boolean {
    const { id } = server;
    const known = this.#servers.get(id);
    if (this.#isGone(server) || !known || !isSameIncarnation(known, server)) return false;
    this.#gone.set(id, server);
    this.#byService.clear();
    const why = 'address_answers_for_another';
    this.log.warn('server_gone', { server: id, why, told_by: reportedBy });
    return true;
  }

  /**
   * Records that a server announced at `announcedAtMs` that it leaves; returns false if that was
   * known.
   */
  onLeaving(server: BackendServer, announcedAtMs: Milliseconds): boolean {
    // Its entry may have expired during a store outage and be listed again.
    const known = this.#servers.get(server.id) ?? this.#expired.get(server.id)?.server;
    if (!known || !isSameIncarnation(known, server) || !this.#leaving.add(known, announcedAtMs))
      return false;
    this.#byService.clear();
    return true;
  }

  /**
   * State of this incarnation of a server in the list; `unlisted` if the list does not contain it.
   */
  stateOf(server: BackendServer): 'ready' | 'draining' | 'unlisted' {
    const known = this.#servers.get(server.id);
    if (!known || !isSameIncarnation(known, server)) return 'unlisted';
    return known.isDraining ? 'draining' : 'ready';
  }

  /** Whether this incarnation of a server has announced that it leaves. */
  isLeaving(server: BackendServer): boolean {
    return this.#leaving.announcedAtMs(server) !== undefined;
  }

  /** Whether a server is in an evacuated availability zone. */
  isEvacuated({ availabilityZone }: BackendServer): boolean {
    return this.evacuatedZones.has(availabilityZone);
  }

  /** Whether servers of a service would accept new work if their zones were not evacuated. */
  hasEvacuated(service: string): boolean {
    if (this.evacuatedZones.size === 0) return false;
    return this.#listedReady(service).some((server) => this.isEvacuated(server));
  }

  /** Servers of a service that have announced that they leave but are listed as ready. */
  leaving(service: string): readonly BackendServer[] {
    if (this.#leaving.size === 0) return [];
    return this.#listedReady(service).filter((server) => this.isLeaving(server));
  }

  /**
   * Leaving servers that still accept requests for a while: one of them may take a request that no
   * other server can.
   */
  lastResort(service: string): readonly BackendServer[] {
    const sinceMs = this.clock.monotonicMs() - this.lastResortMs;
    return this.leaving(service)
      .filter((server) => !this.isEvacuated(server))
      .filter(
        (server) => (this.#leaving.announcedAtMs(server) ?? Number.NEGATIVE_INFINITY) > sinceMs,
      );
  }

  #isGone(server: BackendServer): boolean {
    const gone = this.#gone.get(server.id);
    return gone !== undefined && isSameIncarnation(gone, server);
  }

  /** The known incarnation of a server; undefined if there is none. */
  find(id: string): BackendServer | undefined {
    return this.#servers.get(id);
  }

  /** Servers of a service that accept new work, in an order that all hosts share. */
  available(service: string): readonly BackendServer[] {
    const known = this.#byService.get(service);
    if (known) return known;
    const servers = this.#listedReady(service).filter(
      (server) => !this.isLeaving(server) && !this.isEvacuated(server),
    );
    this.#byService.set(service, servers);
    return servers;
  }

  #listedReady(service: string): readonly BackendServer[] {
    return [...this.#servers.values()]
      .filter((server) => server.service === service && !server.isDraining)
      .filter((server) => !this.#isGone(server))
      .sort(byId);
  }

  /** Compares the servers that announced that they leave with the list, which is current now. */
  #reconcileLeaving(): void {
    if (this.#leaving.size === 0) return;
    const listedIds = new Set(this.#listed.map(({ id }) => id));
    const listed = [...this.#servers.values()].filter(({ id }) => listedIds.has(id));
    this.#leaving.onListed(listed, this.clock.monotonicMs());
    this.#byService.clear();
  }

  #put(server: BackendServer, reportedBy: 'its_entry' | 'its_answer', isFirstList = false): void {
    const before = this.#servers.get(server.id);
    if (before === server) return;
    this.#servers.set(server.id, server);
    this.#byService.clear();
    // Components that used the server before its entry expired may still depend on an earlier
    // incarnation.
    const last = before ?? this.#expired.get(server.id)?.server;
    if (last && !isSameIncarnation(last, server)) this.#beginIncarnation(last, server, reportedBy);
    if (!isFirstList && !(last && isSameIncarnation(last, server)))
      this.#onAppeared(server, reportedBy === 'its_answer');
    if (isFirstList || before?.isDraining === server.isDraining) return;
    const state = server.isDraining ? 'draining' : 'ready';
    this.log.warn('server_listed', { server: server.id, service: server.service, state });
  }

  #expire(id: string, nowMs: Milliseconds): void {
    const server = this.#servers.get(id);
    if (server) this.#expired.set(id, { server, atMs: nowMs });
    this.#servers.delete(id);
  }

  #forgetExpired(nowMs: Milliseconds): void {
    for (const [id, { atMs }] of this.#expired) {
      if (nowMs - atMs < EXPIRED_RETENTION_MS) continue;
      this.#expired.delete(id);
      if (!this.#servers.has(id)) this.#incarnations.forget(id);
    }
  }

  #beginIncarnation(before: BackendServer, server: BackendServer, reportedBy: string): void {
    this.log.warn('server_started_again', {
      server: server.id,
      service: server.service,
      told_by: reportedBy,
      born_ms: server.startedAtMs,
      before_born_ms: before.startedAtMs,
      list_age_ms: Math.round(this.freshness.ageMs()),
    });
    this.#onNewIncarnation(server);
    this.#watchers.announce(server);
  }

  /** Logs one line for the first list: 720 servers would take a line each at every start. */
  #logFirst(listed: readonly BackendServer[], version: number): void {
    const draining = listed.filter(({ isDraining }) => isDraining).length;
    this.log.warn('servers_listed', { ready: listed.length - draining, draining, version });
  }
}
