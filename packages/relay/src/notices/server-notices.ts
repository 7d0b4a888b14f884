import type { Clock, Milliseconds } from '@poppypond/core';
import { REST_NEWS_MS } from '@poppypond/fleet';
import type { BackendServer, RestingServers } from '@poppypond/fleet';
import type { Log, Measures } from '@poppypond/telemetry';
import type { ServerWord } from '../ports.js';
import type { ServerList } from '../store/server-list.js';

/** What the notices need. */
export interface ServerNoticesParts {
  readonly clock: Clock;
  readonly log: Log;
  readonly measures: Measures;
  /** Names this host. */
  readonly host: string;
  readonly servers: ServerList;
  readonly rests: RestingServers;
}

/**
 * What servers say of themselves in their answers of all kinds. That a server leaves binds all hosts and holds as
 * long as its life; that it wants rest binds this host until the rest is over. Each is logged once.
 */
export class ServerNotices {
  #onLeaving: (server: BackendServer, saidAtMs: Milliseconds) => void = () => undefined;

  constructor(readonly parts: ServerNoticesParts) {}

  /** `callback` is told of each life that this host is the first to hear of that it leaves, and since when. */
  onLeaving(callback: (server: BackendServer, saidAtMs: Milliseconds) => void): void {
    this.#onLeaving = callback;
  }

  /** Takes in what the server that was asked as `server` has said in an answer. */
  hear(server: BackendServer, { isLeaving, restMs }: ServerWord): void {
    if (isLeaving) this.#hearItself(server);
    if (restMs !== undefined) this.#hearRest(server, restMs);
  }

  /** The server told `toldBy` at `saidAtMs`, on this process's clock, that it leaves; false where that was known. */
  hearLeaving(server: BackendServer, saidAtMs: Milliseconds, toldBy: string): boolean {
    const { log, measures, servers } = this.parts;
    const listed = servers.stateOf(server);
    if (!servers.onLeaving(server, saidAtMs)) return false;
    measures.count('poppypond_server_words_total', { word: 'leaving' });
    log.warn('server_leaving', {
      server: server.id,
      service: server.service,
      born_ms: server.bornMs,
      told_by: toldBy,
      listed,
      list_age_ms: Math.round(servers.freshness.ageMs()),
    });
    return true;
  }

  #hearItself(server: BackendServer): void {
    const nowMs = this.parts.clock.monotonicMs();
    if (this.hearLeaving(server, nowMs, this.parts.host)) this.#onLeaving(server, nowMs);
  }

  #hearRest(server: BackendServer, restMs: Milliseconds): void {
    const { clock, log, measures, rests } = this.parts;
    const nowMs = clock.monotonicMs();
    const { untilMs, isNews } = rests.begin(server, restMs, nowMs);
    if (!isNews) return;
    const forMs = untilMs - nowMs;
    measures.count('poppypond_server_words_total', { word: 'rest' });
    log.warn('server_rests', {
      server: server.id,
      service: server.service,
      asked_ms: Math.round(restMs),
      for_ms: Math.round(forMs),
      resting: rests.size,
    });
    this.#logWhenOver(server, nowMs, forMs);
  }

  /** Waits on where the rest was prolonged by less than is told. */
  #logWhenOver(server: BackendServer, sinceMs: Milliseconds, waitMs: Milliseconds): void {
    const { clock, log, rests } = this.parts;
    clock.after(waitMs, () => {
      const nowMs = clock.monotonicMs();
      const leftMs = rests.leftMs(server, nowMs);
      const afterMs = Math.round(nowMs - sinceMs);
      if (leftMs === 0) log.info('server_rest_over', { server: server.id, after_ms: afterMs });
      else if (leftMs <= REST_NEWS_MS) this.#logWhenOver(server, sinceMs, leftMs);
    });
  }
}
