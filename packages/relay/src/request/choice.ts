import { delay, randomId } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import type { BackendServer, StreamPlacement } from '@poppypond/fleet';
import { HeldMemory } from '../backend/held-memory.js';
import type { CallerHead, ReaderAddress } from '../ports.js';
import type { Admitted } from './admit.js';
import { chooseEngine, choosePlainServer } from './choose-server.js';
import type { RelayParts } from './relay-parts.js';

/** A server that is to be tried, and how it was chosen. */
export interface Choice {
  readonly server: BackendServer;
  /** Undefined for plain services. */
  readonly placement: StreamPlacement | undefined;
  /** Memory on other engines; undefined where none is needed. */
  readonly held: HeldMemory | undefined;
}

/** What a choice is made for. */
export interface ChoiceInputs {
  readonly parts: RelayParts;
  readonly caller: CallerHead;
  readonly admitted: Admitted;
  readonly arrivedAtMs: Milliseconds;
  /** Servers that failed this request already. */
  readonly failedIds: ReadonlySet<string>;
  readonly leftMs: () => Milliseconds;
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

/** Pause before a waiting request looks for engines again. */
const LOOK_AGAIN_MS: Milliseconds = 10;

function choosePlain({ parts, admitted, failedIds }: ChoiceInputs): Chosen {
  const server = choosePlainServer(parts, admitted.service, failedIds);
  if (!server) return { kind: 'refused', why: 'no server of the service is listed' };
  return { kind: 'choice', choice: { server, placement: undefined, held: undefined } };
}

/** Holds memory on the engines that share the prompt; undefined where one had none. */
function holdShares(
  { parts, caller, onWriterLost }: ChoiceInputs,
  { shares, writer }: StreamPlacement,
): Promise<HeldMemory | undefined> {
  return HeldMemory.take(parts, randomId(), {
    requestId: caller.requestId,
    writer: writer.server,
    needs: shares.map(({ engine, tokens }) => ({ server: engine.server, tokens })),
    onWriterLost,
  });
}

/** Chooses a server, after a wait if need be. */
export async function choose(inputs: ChoiceInputs): Promise<Chosen> {
  const { parts, caller, admitted, arrivedAtMs, failedIds, leftMs, isOver } = inputs;
  const { figures, service, route } = admitted;
  for (;;) {
    if (isOver()) return { kind: 'over' };
    if (!figures) return choosePlain(inputs);
    const { promptTokens, answerTokens, requestId } = caller;
    const tokens = { promptTokens, answerTokens };
    const needs = { requestId, arrivedAtMs, ...tokens, aimMs: route.aimMs, timeLeftMs: leftMs() };
    const plan = chooseEngine(parts, service, figures, needs, failedIds);
    if (plan.kind === 'refuse') return { kind: 'refused', why: plan.rule };
    if (plan.kind === 'place') {
      const choice = { server: plan.writer.server, placement: plan, held: undefined };
      if (plan.shares.length === 0) return { kind: 'choice', choice };
      const held = await holdShares(inputs, plan);
      if (held) return { kind: 'choice', choice: { ...choice, held } };
    }
    await delay(parts.clock, LOOK_AGAIN_MS);
  }
}

/** The engines that read parts, with the memory that is held there. */
export function readersOf({ placement, held }: Choice): readonly ReaderAddress[] {
  const sharing = new Set(placement?.shares.map(({ engine }) => engine.server.id));
  return (placement?.readers ?? []).map(({ server: { id, address, port } }) => {
    const reservation = sharing.has(id) ? held?.id : undefined;
    return { address, port, reservation };
  });
}

/** The engine among the readers that `named` means, by id or `ADDRESS:PORT`. */
export function findReader(
  { server, placement }: Choice,
  named: string | undefined,
): BackendServer | undefined {
  if (named === undefined || named === server.id) return undefined;
  const readers = placement?.readers.map((load) => load.server) ?? [];
  return readers.find(
    ({ id, address, port }) => id === named || `${address}:${String(port)}` === named,
  );
}
