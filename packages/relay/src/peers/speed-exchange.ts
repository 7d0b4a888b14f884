import type { Milliseconds } from '@poppypond/core';
import type { SpeedReport } from '@poppypond/fleet';
import type { SpeedNotices } from '../notices/speed-notices.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { PeerClocks, ReportSender } from './peer-clocks.js';
import type { WireSpeed } from './plan-messages.js';

/** Dependencies of `SpeedExchange`. */
export interface SpeedExchangeParts extends ExchangeParts {
  readonly speedNotices: SpeedNotices;
  readonly clocks: PeerClocks;
}

/** Reports in one message, of 45 bytes each; the others follow in the next messages. */
const MAX_PER_MESSAGE = 16;
/** Each receiver gets at most one report per server within this time. */
const REPORT_PERIOD_MS: Milliseconds = 1000;
/** Heartbeats are sent up to this much early. */
const PERIOD_TOLERANCE_MS: Milliseconds = 50;

/** After this time it does not matter any more when a server was reported. */
const SENT_RETENTION_MS: Milliseconds = 10_000;
/** More receivers than any deployment has. */
const MAX_RECEIVERS = 512;

interface DueReport {
  readonly report: SpeedReport;
  readonly sentAtMs: Milliseconds;
}

/**
 * Exchanges which servers are slow. Hosts send what they observe in plan requests and in heartbeats,
 * which go to planners and coordinators; heartbeats of coordinators also carry what other hosts
 * report. A lost report is repeated by a later heartbeat.
 */
export class SpeedExchange {
  /** When each server was last reported, by receiver. */
  readonly #sent = new Map<string, Map<string, Milliseconds>>();

  constructor(readonly parts: SpeedExchangeParts) {}

  /** Reports for a heartbeat to `receiver`; undefined if there are none. */
  forHeartbeat(receiver: string): WireSpeed[] | undefined {
    const { speeds } = this.parts.speedNotices.parts;
    if (speeds.size === 0) {
      this.#sent.clear();
      return undefined;
    }
    const nowMs = this.parts.clock.monotonicMs();
    const own = speeds.ownReports(nowMs);
    const ownIds = new Set(own.map(({ serverId }) => serverId));
    const known = this.parts.peers.isCoordinator() ? speeds.slowServers(nowMs) : [];
    const relayed = known.filter((slow) => !slow.isRelayed && !ownIds.has(slow.serverId));
    return this.#due(receiver, [...own, ...relayed.map((slow) => ({ ...slow, isRelayed: true }))]);
  }

  /** Reports for a plan request to `planner`; undefined if there are none. */
  forPlanRequest(planner: string): WireSpeed[] | undefined {
    const { speeds } = this.parts.speedNotices.parts;
    if (speeds.size === 0) return undefined;
    return this.#due(planner, speeds.ownReports(this.parts.clock.monotonicMs()));
  }

  /** Applies what a host reported when it sent a message. */
  recordFromPeer(wire: readonly WireSpeed[] | undefined, sender: ReportSender): void {
    if (!wire) return;
    const { host } = sender;
    const datedMs = this.parts.clocks.sentAt(sender, this.parts.clock.monotonicMs());
    for (const [serverId, startedAtMs, slowdown, ageMs, isRelayed] of wire) {
      const observedAtMs = datedMs - ageMs;
      const report = { serverId, startedAtMs: startedAtMs ?? undefined, slowdown };
      this.parts.speedNotices.recordPeerReport({ ...report, observedAtMs, isRelayed }, host);
    }
  }

  /** The reports that `receiver` was not sent lately, the ones that wait longest first. */
  #due(receiver: string, reports: readonly SpeedReport[]): WireSpeed[] | undefined {
    const nowMs = this.parts.clock.monotonicMs();
    const sent = this.#sent.get(receiver) ?? new Map<string, Milliseconds>();
    if (this.#sent.size >= MAX_RECEIVERS) this.#sent.clear();
    this.#sent.set(receiver, sent);
    for (const [id, atMs] of sent) if (nowMs - atMs > SENT_RETENTION_MS) sent.delete(id);
    const sinceMs = nowMs - REPORT_PERIOD_MS + PERIOD_TOLERANCE_MS;
    const due = reports
      .map((report): DueReport => {
        return { report, sentAtMs: sent.get(report.serverId) ?? nowMs - SENT_RETENTION_MS };
      })
      .filter(({ sentAtMs }) => sentAtMs <= sinceMs)
      .sort((one, two) => one.sentAtMs - two.sentAtMs)
      .slice(0, MAX_PER_MESSAGE);
    for (const { report } of due) sent.set(report.serverId, nowMs);
    if (due.length === 0) return undefined;
    return due.map(({ report }) => {
      const { serverId, startedAtMs, slowdown, observedAtMs, isRelayed } = report;
      const ageMs = Math.round(nowMs - observedAtMs);
      return [serverId, startedAtMs ?? null, Number(slowdown.toFixed(2)), ageMs, isRelayed];
    });
  }
}
