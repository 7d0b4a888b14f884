import { parseJson } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { CHAIN_START, hashBlocks, hashText, chatPrompt, estimateTokens } from '@poppypond/hashing';
import { z } from 'zod';

const DEFAULT_OUTPUT_TOKENS = 16;

const bodySchema = z.object({
  model: z.string(),
  prompt: z.string().optional(),
  messages: z.array(z.object({ role: z.string(), content: z.string() })).optional(),
  max_tokens: z.int().positive().optional(),
});

const headerNumber = z.coerce.number<string>();
const headersSchema = z.object({
  'x-request': z.string().min(1),
  'x-attempt': headerNumber.pipe(z.int().nonnegative()),
  'x-owner': z.string().default('caller/direct'),
  'x-dispatch': headerNumber.pipe(z.int().nonnegative()).default(0),
  'x-priority': headerNumber.default(0),
  'x-max-tokens': headerNumber.pipe(z.int().positive()).optional(),
  'x-time-remaining-ms': headerNumber.pipe(z.number().positive()).default(600_000),
  'x-resume-offset': headerNumber.pipe(z.int().nonnegative()).default(0),
  /** 1: queue in the engine until memory is free; 0: be refused immediately. */
  'x-wait': z.enum(['0', '1']).default('1'),
  /** Run under this reservation instead of a new one. */
  'x-reservation': z.string().optional(),
  /** 1: prefill only, then hold the KV cache for export. */
  'x-prefill-only': z.enum(['0', '1']).default('0'),
  /** `URL#RESERVATION` of the KV caches to import before this prompt, comma separated, in order. */
  'x-imports': z.string().optional(),
});

/** A validated call to generate. */
export interface GenerateCall {
  readonly requestId: string;
  readonly attempt: number;
  readonly owner: string;
  readonly dispatch: number;
  readonly priority: number;
  readonly timeRemainingMs: Milliseconds;
  readonly resumeOffset: number;
  readonly canWait: boolean;
  readonly reservationId: string | undefined;
  readonly prefillOnly: boolean;
  readonly imports: readonly string[];
  readonly model: string;
  readonly prompt: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
}

/** Validates a call. Returns a string that names the invalid header or field if there is one. */
export function parseGenerateCall(
  headers: Readonly<Record<string, string | readonly string[] | undefined>>,
  body: string,
): GenerateCall | string {
  const parsedHeaders = headersSchema.safeParse(headers);
  if (!parsedHeaders.success) return `header ${String(parsedHeaders.error.issues[0]?.path[0])}`;
  const parsed = bodySchema.safeParse(parseJson(body));
  if (!parsed.success) return `field ${String(parsed.error.issues[0]?.path.join('.'))}`;
  const prompt = parsed.data.prompt ?? chatPrompt(parsed.data.messages ?? []);
  const headerValues = parsedHeaders.data;
  return {
    requestId: headerValues['x-request'],
    attempt: headerValues['x-attempt'],
    owner: headerValues['x-owner'],
    dispatch: headerValues['x-dispatch'],
    priority: headerValues['x-priority'],
    timeRemainingMs: headerValues['x-time-remaining-ms'],
    resumeOffset: headerValues['x-resume-offset'],
    canWait: headerValues['x-wait'] === '1',
    reservationId: headerValues['x-reservation'],
    prefillOnly: headerValues['x-prefill-only'] === '1',
    imports: headerValues['x-imports']?.split(',') ?? [],
    model: parsed.data.model,
    prompt,
    promptTokens: estimateTokens(prompt),
    maxTokens: headerValues['x-max-tokens'] ?? parsed.data.max_tokens ?? DEFAULT_OUTPUT_TOKENS,
  };
}

/** Chain hashes of a prompt's blocks and of the whole prompt, continued from an imported prefix. */
export function hashPrompt(
  prompt: string,
  start: bigint = CHAIN_START,
): { readonly blocks: readonly bigint[]; readonly promptHash: bigint } {
  return {
    blocks: hashBlocks(prompt, Number.POSITIVE_INFINITY, start),
    promptHash: hashText(prompt, start),
  };
}
