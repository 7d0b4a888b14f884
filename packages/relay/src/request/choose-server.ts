import { randomId } from '@poppypond/core';
import { placeCall } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { without } from '../planning/plan-engines.js';
import type { ChoiceInputs, Chosen } from './choice.js';
import { chooseEngines } from './choose-engines.js';
import type { RelayParts } from './relay-parts.js';

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

/** Chooses a server, after a wait if need be. */
export async function choose(inputs: ChoiceInputs): Promise<Chosen> {
  if (inputs.isOver()) return { kind: 'over' };
  return inputs.admitted.figures ? chooseEngines(inputs) : choosePlain(inputs);
}
