import type { Clock, Labels } from '@poppypond/core';
import type { Decision, DecisionLog } from '@poppypond/state';

/** Fields in which the decisions about one request differ. */
export interface DecisionDetails {
  readonly kind: Decision['kind'];
  readonly choice: string;
  readonly state?: Decision['state'];
  readonly passedOver?: Decision['passedOver'];
}

/** Records the decisions about one request. */
export class DecisionRecorder {
  rule: string | undefined;

  constructor(
    readonly log: DecisionLog,
    readonly clock: Clock,
    readonly requestId: string,
    readonly revision: number,
    public labels: Labels,
  ) {}

  record(details: DecisionDetails): void {
    this.log.record({
      host: this.log.host,
      wallMs: this.clock.wallMs(),
      requestId: this.requestId,
      labels: this.labels,
      ...(this.rule === undefined ? {} : { rule: this.rule }),
      revision: this.revision,
      state: {},
      passedOver: [],
      ...details,
    });
  }
}
