import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { placeCall } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import { without } from '../planning/plan-engines.js';
import { lastChoices } from './choice.js';
import type { ChoiceInputs, Chosen, ChosenAtOnce } from './choice.js';
import { chooseEngines } from './choose-engines.js';

/** A list that is longer in coming is not foreseen, so the request is refused. */
const FIRST_LIST_PATIENCE_MS: Milliseconds = 250;
/** Pause between looks whether the list has come. */
const LOOK_AGAIN_MS: Milliseconds = 5;

/** Picks a server of a plain service; those that failed this request come last. */
function choosePlainServer(inputs: ChoiceInputs): BackendServer | undefined {
  const { parts, admitted } = inputs;
  const nowMs = parts.clock.monotonicMs();
  const usable = without(parts.gate.usable(admitted.service), lastChoices(inputs));
  const candidates = usable.map((server) => ({
    server,
    outstanding: parts.fleet.writersOn(server.id),
    avoidedMs: parts.fleet.suspicions.leftMs(server.id, nowMs),
  }));
  return placeCall(candidates, parts.draw())?.server;
}

function choosePlain(inputs: ChoiceInputs): ChosenAtOnce {
  const { parts, admitted } = inputs;
  const server = choosePlainServer(inputs);
  if (!server) return noServer(parts.gate.nextMs(admitted.service));
  const attemptId = randomId();
  return {
    kind: 'choice',
    choice: { attemptId, server, plan: undefined, readers: [], held: undefined },
  };
}

/** What comes of a service of which no server may be sent anything; `nextMs`: until one may. */
function noServer(nextMs: Milliseconds | undefined): ChosenAtOnce {
  if (nextMs === undefined) return { kind: 'refused', why: 'no server of the service is listed' };
  return { kind: 'resting', nextMs };
}

/** A host that has just started may know the configuration some 20 ms before the servers. */
async function waitForFirstList({ parts, isOver }: ChoiceInputs): Promise<void> {
  const untilMs = parts.clock.monotonicMs() + FIRST_LIST_PATIENCE_MS;
  while (!parts.servers.isKnown && !isOver() && parts.clock.monotonicMs() < untilMs) {
    await delay(parts.clock, LOOK_AGAIN_MS);
  }
}

async function chooseOnce(inputs: ChoiceInputs): Promise<ChosenAtOnce> {
  const { gate } = inputs.parts;
  const { service, figures } = inputs.admitted;
  if (!figures) return choosePlain(inputs);
  if (gate.usable(service).length === 0) return noServer(gate.nextMs(service));
  return chooseEngines(inputs);
}

/** Of an aim, the part within which a server must be back whose rest a caller waits for; the rest is for its answer. */
const WAITED_AIM_SHARE = 0.5;

/** Chooses a server, after a wait if need be; a caller doesn't wait for a rest that takes much of its aim. */
export async function choose(inputs: ChoiceInputs): Promise<Chosen> {
  const { parts, admitted, arrivedAtMs, isOver } = inputs;
  if (!parts.servers.isKnown) await waitForFirstList(inputs);
  const waitsUntilMs = arrivedAtMs + admitted.route.aimMs * WAITED_AIM_SHARE;
  for (;;) {
    if (isOver()) return { kind: 'over' };
    const chosen = await chooseOnce(inputs);
    if (chosen.kind !== 'resting') return chosen;
    const { nextMs } = chosen;
    if (parts.clock.monotonicMs() + nextMs > waitsUntilMs) {
      const retryAfterMs = parts.gate.comeBackMs(nextMs);
      return { kind: 'refused', why: 'all servers of the service want rest', retryAfterMs };
    }
    await delay(parts.clock, nextMs);
  }
}
