import { setFaults, waitUntil, getJson } from '@poppypond/launch';
import type { Fleet, FleetServer, RunningProgram } from '@poppypond/launch';
import { z } from 'zod';
import type { ScenarioRandom } from '../random.js';
import { sleep } from './callers.js';

/** Faults that can be injected into an engine. */
export const ENGINE_FAULTS = [
  'cut-stream',
  'lose-answer',
  'refuse',
  'repeat-frames',
  'engine-pause',
  'engine-slow',
  'engine-kill',
  'engine-freeze',
] as const;

/** A fault that can be injected into an engine. */
export type EngineFault = (typeof ENGINE_FAULTS)[number];

const NO_FAULTS = {
  slowdown: 1,
  cutStreams: 0,
  loseAnswers: 0,
  refuseCalls: 0,
  restSeconds: 0,
  repeatFrames: 0,
  leaving: false,
};

/**
 * Injects a fault into an engine. Resolves when the engine has been replaced or resumed, or when
 * its fault switch is set.
 */
export async function injectEngineFault(
  fleet: Fleet,
  engine: FleetServer,
  fault: EngineFault,
  random: ScenarioRandom,
): Promise<void> {
  const setEngineFaults = (faults: Readonly<Record<string, unknown>>) =>
    setFaults(engine.url, faults);
  switch (fault) {
    case 'cut-stream':
      return setEngineFaults({
        cutStreams: random.between(1, 3),
        cutAfterTokens: random.between(0, 10),
      });
    case 'lose-answer':
      return setEngineFaults({ loseAnswers: random.between(1, 3) });
    case 'refuse':
      return setEngineFaults({ refuseCalls: random.between(1, 5) });
    case 'repeat-frames':
      return setEngineFaults({ repeatFrames: random.between(1, 8) });
    case 'engine-pause':
      return setEngineFaults({ pauseMs: random.between(50, 500) });
    case 'engine-slow':
      return setEngineFaults({ slowdown: random.between(2, 10) });
    case 'engine-kill':
      await fleet.replaceEngine(engine);
      return;
    case 'engine-freeze':
      return freeze(engine.program, random.between(50, 500));
  }
}

/** Suspends a process for `durationMs`. */
export async function freeze(program: RunningProgram, durationMs: number): Promise<void> {
  program.signal('SIGSTOP');
  await sleep(durationMs);
  program.signal('SIGCONT');
}

/** Resets the fault switches of all engines. */
export async function clearEngineFaults(fleet: Fleet): Promise<void> {
  await Promise.all(fleet.engines.map((engine) => setFaults(engine.url, NO_FAULTS)));
}

const truthSchema = z.object({
  heldTokens: z.number(),
  runs: z.array(
    z.object({ requestId: z.string(), startedAtMs: z.number(), prefillOnly: z.boolean() }),
  ),
});

/** Reads the ground truth of an engine: the requests that it ran and the memory that it holds. */
export async function readEngineTruth(engine: FleetServer): Promise<z.infer<typeof truthSchema>> {
  return truthSchema.parse(await getJson(`${engine.url}/truth`));
}

/** Returns the ids of all requests that engines ran, also of engines that were killed since. */
export function allRunRequests(fleet: Fleet): ReadonlySet<string> {
  return new Set(fleet.engines.flatMap((engine) => [...engine.program.ran]));
}

/** Reads the tokens that each engine holds. */
async function readHeldTokens(fleet: Fleet): Promise<ReadonlyMap<string, number>> {
  const held = await Promise.all(
    fleet.engines.map(
      async (engine) => [engine.name, (await readEngineTruth(engine)).heldTokens] as const,
    ),
  );
  return new Map(held);
}

/**
 * Waits up to `withinMs` until no engine holds memory, then returns the tokens that each still
 * holds.
 */
export async function waitForFreeMemory(
  fleet: Fleet,
  withinMs: number,
): Promise<ReadonlyMap<string, number>> {
  const isFree = async () =>
    [...(await readHeldTokens(fleet)).values()].every((tokens) => tokens === 0);
  await waitUntil('memory is free', isFree, withinMs).catch(() => undefined);
  return readHeldTokens(fleet);
}
