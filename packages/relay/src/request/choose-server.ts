import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { placeCall } from '@poppypond/fleet';
import type { BackendServer } from '@poppypond/fleet';
import type { SendPermit } from '../notices/permit-client.js';
import { without } from '../planning/plan-engines.js';
import type { PermitRequest } from '../planning/plan-request.js';
import { lastChoices } from './choice.js';
import type { ChoiceInputs, Chosen, ChosenAtOnce } from './choice.js';
import { chooseEngines, refusedBy, toPlanRequest, WAITED_AIM_SHARE } from './choose-engines.js';

/** A list that is longer in coming is not foreseen, so the request is refused. */
const FIRST_LIST_PATIENCE_MS: Milliseconds = 250;
/** Pause between looks whether the list has come. */
const LOOK_AGAIN_MS: Milliseconds = 5;
/** Asks for a place of whichever server of the service has one. */
const ANY_SERVER: PermitRequest = { serverIds: [], isSent: false };

/** Picks one of `usable` servers of a plain service; those that failed this request come last. */
function pickPlain(
  inputs: ChoiceInputs,
  usable: readonly BackendServer[],
): BackendServer | undefined {
  const { parts } = inputs;
  const nowMs = parts.clock.monotonicMs();
  const candidates = without(usable, lastChoices(inputs)).map((server) => ({
    server,
    outstanding: parts.fleet.writersOn(server.id),
    avoidedMs: parts.fleet.suspicions.leftMs(server.id, nowMs),
  }));
  return placeCall(candidates, parts.random())?.server;
}

function plainChoice(server: BackendServer, permit: SendPermit | undefined): ChosenAtOnce {
  const attemptId = randomId();
  const alone = { plan: undefined, readers: [], held: undefined };
  return { kind: 'choice', choice: { attemptId, server, ...alone, permit } };
}

async function choosePlain(inputs: ChoiceInputs): Promise<ChosenAtOnce> {
  const { gate, permits } = inputs.parts;
  const { service } = inputs.admitted;
  const usable = gate.usable(service);
  const unlimited = usable.filter((server) => !gate.isLimited(server));
  if (unlimited.length === 0 && usable.length > 0) return chooseLimited(inputs);
  const asked = usable.filter((server) => !gate.isLimited(server) || permits.mayBeOpen(server));
  const server = pickPlain(inputs, asked);
  if (!server) return noServer(gate.nextMs(service));
  if (!gate.isLimited(server)) return plainChoice(server, undefined);
  const permit = await permits.tryTake(server);
  if (permit) return plainChoice(server, permit);
  const other = pickPlain(inputs, unlimited);
  return other ? plainChoice(other, undefined) : noServer(gate.nextMs(service));
}

/** All servers of a plain service name limits: whoever gives out their places says which one may be sent it, or when. */
async function chooseLimited(inputs: ChoiceInputs): Promise<ChosenAtOnce> {
  const { admitted, isOver, parts } = inputs;
  const { clock, gate, placement: placing } = parts;
  const request = { ...toPlanRequest(inputs, lastChoices(inputs)), permit: ANY_SERVER };
  const placed = await placing.place(request, isOver);
  if (placed.kind === 'over') return placed;
  if (placed.kind === 'refuse') return refusedBy(placed, admitted.route);
  const { writerId, permittedIds } = placed.stream;
  const server = gate.usable(admitted.service).find(({ id }) => id === writerId);
  const permit = { serverIds: permittedIds, givenAtMs: clock.monotonicMs() };
  return server ? plainChoice(server, permit) : noServer(gate.nextMs(admitted.service));
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
