import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { placeCall } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { without } from '../planning/plan-engines.js';
import type { ChoiceInputs, Chosen } from './choice.js';
import { chooseEngines } from './choose-engines.js';
import type { RelayParts } from './relay-parts.js';

/** A list that is longer in coming is not foreseen, so the request is refused. */
const FIRST_LIST_PATIENCE_MS: Milliseconds = 250;
/** Pause between looks whether the list has come. */
const LOOK_AGAIN_MS: Milliseconds = 5;

/** Picks a server of a plain service; those that failed this request come last. */
function choosePlainServer(
  parts: RelayParts,
  service: string,
  failedIds: ReadonlySet<string>,
): BackendServer | undefined {
  const nowMs = parts.clock.monotonicMs();
  const candidates = without(parts.servers.available(service), failedIds).map((server) => ({
    server,
    outstanding: parts.fleet.writersOn(server.id),
    avoidedMs: parts.fleet.suspicions.leftMs(server.id, nowMs),
  }));
  return placeCall(candidates, parts.draw())?.server;
}

function choosePlain({ parts, admitted, failedIds }: ChoiceInputs): Chosen {
  const server = choosePlainServer(parts, admitted.service, failedIds);
  if (!server) return { kind: 'refused', why: 'no server of the service is listed' };
  const attemptId = randomId();
  return {
    kind: 'choice',
    choice: { attemptId, server, plan: undefined, readers: [], held: undefined },
  };
}

/** A host that has just started may know the configuration some 20 ms before the servers. */
async function waitForFirstList({ parts, isOver }: ChoiceInputs): Promise<void> {
  const untilMs = parts.clock.monotonicMs() + FIRST_LIST_PATIENCE_MS;
  while (!parts.servers.isKnown && !isOver() && parts.clock.monotonicMs() < untilMs) {
    await delay(parts.clock, LOOK_AGAIN_MS);
  }
}

/** Chooses a server, after a wait if need be. */
export async function choose(inputs: ChoiceInputs): Promise<Chosen> {
  if (!inputs.parts.servers.isKnown) await waitForFirstList(inputs);
  if (inputs.isOver()) return { kind: 'over' };
  return inputs.admitted.figures ? chooseEngines(inputs) : choosePlain(inputs);
}
