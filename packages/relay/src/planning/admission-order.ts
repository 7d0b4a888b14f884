import type { Clock } from '@poppypond/core';
import type { Admissions } from './admissions.js';
import type { PlannedStream, PlanRequest } from './plan-request.js';
import type { WaitingOrder } from './waiting-order.js';

/**
 * Orders the requests of services with admission control by their admission, and those of the other
 * services by `others`.
 */
export class AdmissionOrder implements WaitingOrder {
  constructor(
    readonly clock: Clock,
    readonly admissions: Admissions,
    readonly others: WaitingOrder,
  ) {}

  sort<Item extends { readonly request: PlanRequest }>(waiting: readonly Item[]): readonly Item[] {
    const services = new Set(waiting.map(({ request }) => request.service));
    const admitted = [...services].filter((service) => this.admissions.of(service));
    if (admitted.length === 0) return this.others.sort(waiting);
    const rest = waiting.filter(({ request }) => !admitted.includes(request.service));
    const nowMs = this.clock.monotonicMs();
    const inOrder = admitted.flatMap((service) => {
      const items = waiting.filter(({ request }) => request.service === service);
      return this.admissions.of(service)?.inOrder(items, nowMs) ?? items;
    });
    return [...this.others.sort(rest), ...inOrder];
  }

  onPlaced(request: PlanRequest, stream: PlannedStream): void {
    if (!this.admissions.of(request.service)) this.others.onPlaced(request, stream);
  }
}
