import type { Scenario } from './scenario.js';
import { atMostOnce } from './scenarios/at-most-once.js';
import {
  engineMemory,
  reportedNotRun,
  completeAnswer,
  withinLimit,
} from './scenarios/completions.js';
import { configuration } from './scenarios/configuration.js';
import { fencedCommands } from './scenarios/controllers.js';
import { leavingServer, plannedStop } from './scenarios/planned.js';

/** A scenario for each guarantee that must always hold, and one for the control of engines. */
export const SCENARIOS: readonly Scenario[] = [
  withinLimit,
  engineMemory,
  completeAnswer,
  reportedNotRun,
  atMostOnce,
  leavingServer,
  plannedStop,
  configuration,
  fencedCommands,
];
