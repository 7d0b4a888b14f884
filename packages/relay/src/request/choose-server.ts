import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { placeCall } from '@poppypond/fleet';
import type { BackendServer, CallCandidate } from '@poppypond/fleet';
import type { SendPermit } from '../notices/permit-client.js';
import { without } from '../planning/plan-engines.js';
import type { PermitRequest } from '../planning/plan-request.js';
import { deprioritizedIds } from './choice.js';
import type { ChoiceInputs, ChoiceOutcome, ImmediateOutcome } from './choice.js';
import {
  chooseEngines,
  ALL_REST,
  refusalOf,
  toPlanRequest,
  MAX_WAIT_TARGET_SHARE,
} from './choose-engines.js';
import { plainCandidates } from './plain-candidates.js';

/** Longest wait for the first server list; a request is refused if the list takes longer. */
const FIRST_LIST_TIMEOUT_MS: Milliseconds = 250;
/** Period of the checks for the first server list. */
const POLL_PERIOD_MS: Milliseconds = 5;
/** Delay before another choice if this host uses its share of the connections of all servers. */
const CONNECTION_POLL_MS: Milliseconds = 10;
/** Longest interval between checks whether a waiting request is finished. */
const REST_POLL_MS: Milliseconds = 50;
const NO_CONNECTION = 'no connection to a server of the service is left';
/** Requests a permit for any server of the service. */
const ANY_SERVER: PermitRequest = { serverIds: [], isSent: false };

/** Picks one of the candidates for a call to a plain service. */
function pickCandidate(
  { parts }: ChoiceInputs,
  candidates: readonly CallCandidate[],
): BackendServer | undefined {
  const nowMs = parts.clock.monotonicMs();
  const { fleet, peers, random } = parts;
  const { speeds } = fleet;
  const probed = candidates.find(({ server, outstanding, avoidedMs }) => {
    return (
      outstanding === 0 && avoidedMs === 0 && speeds.isProbeDue(server, nowMs, peers.hostCount)
    );
  });
  const server = (probed ?? placeCall(candidates, random()))?.server;
  if (server) speeds.onUsed(server.id, nowMs);
  return server;
}

/**
 * Picks one of the `servers` of a plain service, with the servers of `deprioritizedIds`
 * last.
 */
function pickServer(
  inputs: ChoiceInputs,
  servers: readonly BackendServer[],
): BackendServer | undefined {
  const { clock, fleet } = inputs.parts;
  const preferred = without(servers, deprioritizedIds(inputs));
  return pickCandidate(inputs, plainCandidates(fleet, preferred, clock.monotonicMs()));
}

function plainChoice(server: BackendServer, permit: SendPermit | undefined): ImmediateOutcome {
  const attemptId = randomId();
  const alone = { plan: undefined, readers: [], held: undefined };
  return { kind: 'choice', choice: { attemptId, server, ...alone, permit } };
}

async function choosePlainServer(inputs: ChoiceInputs): Promise<ImmediateOutcome> {
  const { gate, permits } = inputs.parts;
  const { service, allowedRegions } = inputs.admitted;
  const listed = gate.usableServers(service, allowedRegions);
  const usable = listed.filter((server) => gate.mayConnect(server));
  if (usable.length === 0 && listed.length > 0)
    return { kind: 'resting', nextUsableInMs: CONNECTION_POLL_MS, why: NO_CONNECTION };
  if (gate.isBounded(service)) return chooseBoundedServer(inputs, usable);
  const unlimited = usable.filter((server) => !gate.isLimited(server));
  if (unlimited.length === 0 && usable.length > 0) return chooseLimitedServer(inputs);
  const candidates = usable.filter(
    (server) => !gate.isLimited(server) || (!gate.isCold(server) && permits.mayHavePermit(server)),
  );
  const server = pickServer(inputs, candidates);
  if (!server) return noUsableServer(inputs);
  if (!gate.isLimited(server)) return plainChoice(server, undefined);
  const permit = await permits.tryAcquire(server);
  if (permit) return plainChoice(server, permit);
  const other = pickServer(inputs, unlimited);
  return other ? plainChoice(other, undefined) : noUsableServer(inputs);
}

/**
 * Chooses a server of a plain service that bounds what each server gets: one that this host may send
 * a request without a permit, and where none is left, one that the planner grants a permit for.
 */
async function chooseBoundedServer(
  inputs: ChoiceInputs,
  usable: readonly BackendServer[],
): Promise<ImmediateOutcome> {
  const { clock, fleet, gate, metrics } = inputs.parts;
  const deprioritized = deprioritizedIds(inputs);
  // Of all servers of the service, so that those without room count for the share that is avoided.
  const candidates = plainCandidates(fleet, usable, clock.monotonicMs());
  const own = candidates.filter(({ server, avoidedMs }) => {
    if (avoidedMs > 0 || deprioritized.has(server.id)) return false;
    return !gate.isLimited(server) && gate.hasOwnRoom(server);
  });
  const server = pickCandidate(inputs, own);
  if (server) {
    metrics.count('poppypond_bounded_calls_total', { room: 'own' });
    return plainChoice(server, undefined);
  }
  if (usable.length === 0) return noUsableServer(inputs);
  metrics.count('poppypond_bounded_calls_total', { room: 'permit' });
  return chooseLimitedServer(inputs);
}

/**
 * Chooses a server of a plain service whose servers are all rate-limited, or get no more without a
 * permit: the host that grants permits returns one of them, or the time after which to retry.
 */
async function chooseLimitedServer(inputs: ChoiceInputs): Promise<ImmediateOutcome> {
  const { admitted, isFinished, parts } = inputs;
  const { clock, gate, placement } = parts;
  const wanted = toPlanRequest(inputs, deprioritizedIds(inputs));
  const withoutConnection = gate
    .usableServers(admitted.service, admitted.allowedRegions)
    .filter((server) => !gate.mayConnect(server));
  const excludedIds = [...wanted.excludedIds, ...withoutConnection.map(({ id }) => id)];
  const request = { ...wanted, excludedIds, permit: ANY_SERVER };
  const placed = await placement.place(request, isFinished);
  if (placed.kind === 'over') return placed;
  if (placed.kind === 'refuse') return refusalOf(placed, admitted.route);
  const { writerId, permittedIds } = placed.stream;
  const usable = gate.usableServers(admitted.service, admitted.allowedRegions);
  const server = usable.find(({ id }) => id === writerId);
  // A planner of a release without bounds names only servers with a rate limit.
  const isBoundedOnly = server !== undefined && !gate.isLimited(server);
  const serverIds = isBoundedOnly ? [...permittedIds, server.id] : permittedIds;
  const permit = { serverIds, grantedAtMs: clock.monotonicMs() };
  return server ? plainChoice(server, permit) : noUsableServer(inputs);
}

/** Outcome for a request without a usable server. */
function noUsableServer({ admitted, parts }: ChoiceInputs): ImmediateOutcome {
  const { allowedRegions, service } = admitted;
  const nextUsableInMs = parts.gate.nextUsableInMs(service, allowedRegions);
  if (nextUsableInMs === undefined)
    return { kind: 'refused', why: parts.gate.unusableReason(service, allowedRegions) };
  return { kind: 'resting', nextUsableInMs, why: ALL_REST };
}

/**
 * Waits for the first server list. A host that has just started may receive the configuration 20 ms
 * before the list.
 */
async function waitForFirstList({ parts, isFinished }: ChoiceInputs): Promise<void> {
  const untilMs = parts.clock.monotonicMs() + FIRST_LIST_TIMEOUT_MS;
  while (!parts.servers.isKnown && !isFinished() && parts.clock.monotonicMs() < untilMs) {
    await delay(parts.clock, POLL_PERIOD_MS);
  }
}

async function chooseOnce(inputs: ChoiceInputs): Promise<ImmediateOutcome> {
  const { gate } = inputs.parts;
  const { service, figures, allowedRegions } = inputs.admitted;
  if (!figures) return choosePlainServer(inputs);
  if (gate.usableServers(service, allowedRegions).length === 0) return noUsableServer(inputs);
  return chooseEngines(inputs);
}

/**
 * Chooses a server, after a wait if all are in a backoff. Refuses instead if the wait would use up
 * too much of the latency target.
 */
export async function chooseServer(inputs: ChoiceInputs): Promise<ChoiceOutcome> {
  const { parts, admitted, arrivedAtMs, isFinished } = inputs;
  if (!parts.servers.isKnown) await waitForFirstList(inputs);
  const waitUntilMs = arrivedAtMs + admitted.route.aimMs * MAX_WAIT_TARGET_SHARE;
  for (;;) {
    if (isFinished()) return { kind: 'over' };
    const chosen = await chooseOnce(inputs);
    if (chosen.kind !== 'resting') return chosen;
    const { nextUsableInMs } = chosen;
    if (parts.clock.monotonicMs() + nextUsableInMs > waitUntilMs) {
      const retryAfterMs = parts.gate.callerRetryDelayMs(nextUsableInMs);
      return { kind: 'refused', why: chosen.why, retryAfterMs };
    }
    await rest(inputs, nextUsableInMs);
  }
}

/** Waits until a server may be sent requests again, or the request is finished. */
async function rest({ parts, isFinished }: ChoiceInputs, restMs: Milliseconds): Promise<void> {
  const { clock } = parts;
  const untilMs = clock.monotonicMs() + restMs;
  let leftMs = restMs;
  while (leftMs > 0 && !isFinished()) {
    await delay(clock, Math.min(leftMs, REST_POLL_MS));
    leftMs = untilMs - clock.monotonicMs();
  }
}
