import type { TerminatedRuns } from '@poppypond/fleet';
import type { PartQuarantine, PartReports, ServedPart } from '../quarantine/part-quarantine.js';
import { BatchedBroadcast } from './batched-broadcast.js';
import type { ExchangeParts } from './exchange-parts.js';
import type { Peer } from './peer-list.js';
import type { PartTerminationsMessage } from './peer-messages.js';
import {
  fromWireServedPart,
  fromWireTerminatedRuns,
  toWireRequests,
  toWireServedPart,
  toWireTerminatedRuns,
} from './part-termination-wire-format.js';
import { ZoneBroadcast } from './zone-broadcast.js';

/** Dependencies of `PartTerminationExchange`. */
export interface PartTerminationExchangeParts extends ExchangeParts {
  readonly partQuarantine: PartQuarantine;
}

type PartReport =
  | { readonly kind: 'terminated'; readonly runs: TerminatedRuns }
  | { readonly kind: 'served'; readonly served: ServedPart };

/** Reports that wait to be sent are dropped beyond this number. */
const MAX_PENDING = 256;

function toList({ terminated, served }: PartReports): readonly PartReport[] {
  return [
    ...terminated.map((runs): PartReport => ({ kind: 'terminated', runs })),
    ...served.map((part): PartReport => ({ kind: 'served', served: part })),
  ];
}

function subjectOf(report: PartReport): string {
  return report.kind === 'served' ? report.served.part : report.runs.incarnation;
}

/**
 * Broadcasts which parts ran on servers that ended, and which of them were served. Lost messages are
 * not repeated: a part that is found to be fatal by any host is quarantined on all.
 */
export class PartTerminationExchange {
  readonly #broadcast: ZoneBroadcast<readonly PartReport[]>;
  readonly #batch: BatchedBroadcast<PartReport>;
  /** Reports that wait to be sent, by incarnation or part. */
  readonly #pending = new Map<string, PartReport>();

  constructor(readonly parts: PartTerminationExchangeParts) {
    const { clock, partQuarantine, peers } = parts;
    this.#broadcast = new ZoneBroadcast(peers, (to, reports, passOn) => {
      this.#send(to, reports, passOn);
    });
    const find = (subject: string) => this.#takePending(subject);
    this.#batch = new BatchedBroadcast({ clock, broadcast: this.#broadcast, find });
    partQuarantine.onReports((reports) => {
      this.#publish(reports);
    });
  }

  /**
   * Applies a message. Forwards what is new if it asks for that; otherwise a coordinator broadcasts
   * it.
   */
  onMessage({ terminated, requests, served, passOn }: PartTerminationsMessage): void {
    const { clock, partQuarantine, peers } = this.parts;
    const nowMs = clock.monotonicMs();
    const news = partQuarantine.mergeFromPeer({
      terminated: terminated.map((runs, index) =>
        fromWireTerminatedRuns(runs, nowMs, requests?.[index]),
      ),
      served: served.map((part) => fromWireServedPart(part, nowMs)),
    });
    if (passOn) this.#broadcast.passOn(toList(news));
    else if (peers.isCoordinator()) this.#publish(news);
  }

  #publish(reports: PartReports): void {
    for (const report of toList(reports)) {
      const subject = subjectOf(report);
      if (this.#pending.size < MAX_PENDING) this.#pending.set(subject, report);
    }
    this.#batch.publish(this.#pending.keys());
  }

  #takePending(subject: string): PartReport | undefined {
    const report = this.#pending.get(subject);
    this.#pending.delete(subject);
    return report;
  }

  #send(peers: readonly Peer[], reports: readonly PartReport[], passOn: boolean): void {
    if (peers.length === 0 || reports.length === 0) return;
    const nowMs = this.parts.clock.monotonicMs();
    const terminated = reports.flatMap((report) =>
      report.kind === 'terminated' ? [report.runs] : [],
    );
    this.parts.send(peers, {
      kind: 'part_terminations',
      ...this.parts.senderFields(),
      terminated: terminated.map((runs) => toWireTerminatedRuns(runs, nowMs)),
      requests: terminated.map(toWireRequests),
      served: reports.flatMap((report) =>
        report.kind === 'served' ? [toWireServedPart(report.served, nowMs)] : [],
      ),
      passOn,
    });
  }
}
