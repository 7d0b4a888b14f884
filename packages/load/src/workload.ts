import { CHARACTERS_PER_TOKEN } from '@poppypond/hashing';
import { makePrompt } from './prompt.js';
import { seededRandom } from './seeded-random.js';
import { SAMPLE_WORKSPACES } from './sample-objects.js';

/** A request of a workload and its time of arrival. */
export interface Arrival {
  readonly index: number;
  /** From the start of the run, in milliseconds. */
  readonly atMs: number;
  readonly workspace: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Number of the document that its prompt starts with; undefined if the prompt is unique. */
  readonly document: number | undefined;
}

/** Settings of a generated workload. */
export interface WorkloadOptions {
  readonly seed: number;
  readonly requestsPerSecond: number;
  readonly durationMs: number;
  /** Factor by which the arrival rate increases during a burst; 1 for no burst. */
  readonly burstFactor: number;
  /** Share of prompts over 100,000 tokens outside a burst; half of it during a burst. */
  readonly hugeShare: number;
}

/** Prompts with fewer tokens than this count as short questions. */
export const SHORT_PROMPT_TOKENS = 8192;

const MIDDLE_SHARE = 0.18;
const SHORT_RANGE = [800, 4000] as const;
const MIDDLE_RANGE = [4000, 100_000] as const;
const HUGE_RANGE = [100_000, 1_000_000] as const;
const DOCUMENT_COUNT = 24;
const SHARED_DOCUMENT_CHANCE = 0.3;
const SHARED_PROMPT_SHARE = 0.8;
const OUTPUT_RANGE = [8, 64] as const;
const BURST_FROM = 0.4;
const BURST_TO = 0.6;
const MS_PER_SECOND = 1000;

type Uniform = () => number;

function logUniform(range: readonly [number, number], uniform: Uniform): number {
  const [low, high] = range;
  return Math.round(low * (high / low) ** uniform());
}

function chooseWorkspace(uniform: Uniform): string {
  let remaining = uniform();
  for (const { name, share } of SAMPLE_WORKSPACES) {
    remaining -= share;
    if (remaining <= 0) return name;
  }
  return SAMPLE_WORKSPACES[0].name;
}

function choosePromptTokens(hugeShare: number, uniform: Uniform): number {
  const kind = uniform();
  if (kind < hugeShare) return logUniform(HUGE_RANGE, uniform);
  if (kind < hugeShare + MIDDLE_SHARE) return logUniform(MIDDLE_RANGE, uniform);
  return logUniform(SHORT_RANGE, uniform);
}

/** Generates the arrivals of a workload as a Poisson process; the same seed gives the same ones. */
export function makeWorkload(options: WorkloadOptions): readonly Arrival[] {
  const uniform = seededRandom(options.seed);
  const arrivals: Arrival[] = [];
  let atMs = 0;
  while (atMs < options.durationMs) {
    const elapsedShare = atMs / options.durationMs;
    const isBurst = elapsedShare >= BURST_FROM && elapsedShare < BURST_TO;
    const rate = options.requestsPerSecond * (isBurst ? options.burstFactor : 1);
    atMs += (-Math.log(1 - uniform()) / rate) * MS_PER_SECOND;
    const promptTokens = choosePromptTokens(
      isBurst ? options.hugeShare / 2 : options.hugeShare,
      uniform,
    );
    const isShared = promptTokens > SHORT_PROMPT_TOKENS && uniform() < SHARED_DOCUMENT_CHANCE;
    arrivals.push({
      index: arrivals.length,
      atMs,
      workspace: chooseWorkspace(uniform),
      promptTokens,
      maxTokens: logUniform(OUTPUT_RANGE, uniform),
      document: isShared ? Math.floor(uniform() * DOCUMENT_COUNT) : undefined,
    });
  }
  return arrivals;
}

/** Builds the prompt of an arrival. It is unique except for the document that it may start with. */
export function makeArrivalPrompt(arrival: Arrival, seed: number): string {
  const { document, index, promptTokens } = arrival;
  const unique = `request ${String(seed)}-${String(index)} `;
  if (document === undefined) return makePrompt(unique, promptTokens);
  const shared = Math.floor(promptTokens * SHARED_PROMPT_SHARE);
  const prefix = makePrompt(`document ${String(seed)}-${String(document)} `, shared);
  const remaining = promptTokens - Math.ceil(prefix.length / CHARACTERS_PER_TOKEN);
  return prefix + makePrompt(unique, remaining);
}
