import type { Proof } from './proof.js';
import { atMostOnce } from './scenarios/at-most-once.js';
import { engineMemory, toldNotRun, wholeAnswer, withinLimit } from './scenarios/completions.js';
import { configuration } from './scenarios/configuration.js';
import { fencedOrders } from './scenarios/controllers.js';
import { leavingServer, plannedStop } from './scenarios/planned.js';

/** A proof for each line under "What must always hold", and one for control of the engines. */
export const PROOFS: readonly Proof[] = [
  withinLimit,
  engineMemory,
  wholeAnswer,
  toldNotRun,
  atMostOnce,
  leavingServer,
  plannedStop,
  configuration,
  fencedOrders,
];
