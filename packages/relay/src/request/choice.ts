import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import type { BackendServer } from '@poppypond/fleet';
import { HeldMemory } from '../backend/held-memory.js';
import type { PlannedStream, PlanRequest } from '../planning/plan-request.js';
import type { CallerHead, ReaderAddress } from '../ports.js';
import type { Admitted } from './admit.js';
import { choosePlainServer } from './choose-server.js';
import type { RelayParts } from './relay-parts.js';

/** A plan and what it was asked for. */
export interface StreamPlan {
  readonly request: PlanRequest;
  readonly stream: PlannedStream;
  /** The host that made it. */
  readonly planner: string;
}

/** A server that is to be tried, and how it was chosen. */
export interface Choice {
  /** Names the attempt. */
  readonly attemptId: string;
  readonly server: BackendServer;
  /** What was planned for and how; undefined for plain services. */
  readonly plan: StreamPlan | undefined;
  /** Engines that read parts of the prompt, in the order of the plan. */
  readonly readers: readonly BackendServer[];
  /** Memory on other engines; undefined where none is needed. */
  readonly held: HeldMemory | undefined;
}

/** What a choice is made for. */
export interface ChoiceInputs {
  readonly parts: RelayParts;
  readonly caller: CallerHead;
  readonly admitted: Admitted;
  readonly arrivedAtMs: Milliseconds;
  readonly limitAtMs: Milliseconds;
  /** Servers that failed this request already. */
  readonly failedIds: ReadonlySet<string>;
  /** Called when the engine no longer answers for which memory is held elsewhere. */
  readonly onWriterLost: () => void;
  /** Whether there is nothing left to choose for. */
  readonly isOver: () => boolean;
}

/** `refused`: no server can take it, and why. `over`: the caller has left or the time is up. */
export type Chosen =
  | { readonly kind: 'choice'; readonly choice: Choice }
  | { readonly kind: 'refused'; readonly why: string }
  | { readonly kind: 'over' };

/** Pause before a request is planned again whose plan could not be used. */
const PLAN_AGAIN_MS: Milliseconds = 10;

function choosePlain({ parts, admitted, failedIds }: ChoiceInputs): Chosen {
  const server = choosePlainServer(parts, admitted.service, failedIds);
  if (!server) return { kind: 'refused', why: 'no server of the service is listed' };
  const attemptId = randomId();
  return {
    kind: 'choice',
    choice: { attemptId, server, plan: undefined, readers: [], held: undefined },
  };
}

function toPlanRequest(inputs: ChoiceInputs, avoidedIds: Iterable<string>): PlanRequest {
  const { parts, caller, admitted, arrivedAtMs, limitAtMs } = inputs;
  return {
    attemptId: randomId(),
    requestId: caller.requestId,
    host: parts.host,
    service: admitted.service,
    promptTokens: caller.promptTokens,
    answerTokens: caller.answerTokens,
    aimMs: admitted.route.aimMs,
    gapAimMs: admitted.route.gapAimMs,
    arrivedAtMs,
    limitAtMs,
    avoidedIds: [...avoidedIds],
  };
}

/** The servers of a plan, or the ids of those that may take no work by what this host knows. */
function findServers(
  { parts, admitted }: ChoiceInputs,
  { writerId, readerIds }: PlannedStream,
): { readonly servers: readonly BackendServer[]; readonly unusableIds: readonly string[] } {
  const available = parts.servers.available(admitted.service);
  const servers: BackendServer[] = [];
  const unusableIds: string[] = [];
  for (const id of [writerId, ...readerIds]) {
    const server = available.find((candidate) => candidate.id === id);
    if (server) servers.push(server);
    else unusableIds.push(id);
  }
  return { servers, unusableIds };
}

/** Holds memory on the engines that share the prompt; undefined where one had none. */
function holdShares(
  { parts, caller, onWriterLost }: ChoiceInputs,
  writer: BackendServer,
  readers: readonly BackendServer[],
  { shares }: PlannedStream,
): Promise<HeldMemory | undefined> {
  return HeldMemory.take(parts, randomId(), {
    requestId: caller.requestId,
    writer,
    needs: shares.flatMap(({ engineId, tokens }) => {
      const server = readers.find(({ id }) => id === engineId);
      return server ? [{ server, tokens }] : [];
    }),
    onWriterLost,
  });
}

/** The choice that a plan amounts to; undefined where the memory that it needs was not to be had. */
async function chooseAsPlanned(
  inputs: ChoiceInputs,
  plan: StreamPlan,
  [server, ...readers]: readonly BackendServer[],
): Promise<Choice | undefined> {
  if (!server) return undefined;
  const { request, stream } = plan;
  const choice = { attemptId: request.attemptId, server, plan, readers, held: undefined };
  if (stream.shares.length === 0) return choice;
  const held = await holdShares(inputs, server, readers, stream);
  return held && { ...choice, held };
}

async function chooseEngines(inputs: ChoiceInputs): Promise<Chosen> {
  const { parts, admitted, failedIds, isOver } = inputs;
  const avoidedIds = new Set(failedIds);
  for (;;) {
    const request = toPlanRequest(inputs, avoidedIds);
    const placed = await parts.placing.place(request, isOver);
    if (placed.kind === 'over') return placed;
    if (placed.kind === 'refuse') return { kind: 'refused', why: placed.rule };
    const { servers, unusableIds } = findServers(inputs, placed.stream);
    const isUsable = unusableIds.length === 0;
    const choice = isUsable
      ? await chooseAsPlanned(
          inputs,
          { request, stream: placed.stream, planner: placed.planner },
          servers,
        )
      : undefined;
    if (choice) return { kind: 'choice', choice };
    parts.peers.end(request.attemptId, admitted.service);
    for (const id of unusableIds) avoidedIds.add(id);
    if (parts.servers.available(admitted.service).length === 0) {
      return { kind: 'refused', why: 'no server of the service is listed' };
    }
    await delay(parts.clock, PLAN_AGAIN_MS);
  }
}

/** Chooses a server, after a wait if need be. */
export async function choose(inputs: ChoiceInputs): Promise<Chosen> {
  if (inputs.isOver()) return { kind: 'over' };
  return inputs.admitted.figures ? chooseEngines(inputs) : choosePlain(inputs);
}

/** The engines that read parts, with the memory that is held there. */
export function readersOf({ plan, readers, held }: Choice): readonly ReaderAddress[] {
  const sharing = new Set(plan?.stream.shares.map(({ engineId }) => engineId));
  return readers.map(({ id, address, port }) => {
    const reservation = sharing.has(id) ? held?.id : undefined;
    return { address, port, reservation };
  });
}

/** The engine among the readers that `named` means, by id or `ADDRESS:PORT`. */
export function findReader(
  { server, readers }: Choice,
  named: string | undefined,
): BackendServer | undefined {
  if (named === undefined || named === server.id) return undefined;
  return readers.find(
    ({ id, address, port }) => id === named || `${address}:${String(port)}` === named,
  );
}
