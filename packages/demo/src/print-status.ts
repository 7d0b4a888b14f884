import { parseJson } from '@poppypond/core';
import type { Clock } from '@poppypond/core';
import { SAMPLE_MODEL, SAMPLE_OPERATOR_KEY, sampleKey } from '@poppypond/load';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';
import type { RunningDemo } from './demo.js';

const PERIOD_MS = 2000;
const TIMEOUT_MS = 1000;

const statusSchema = z.object({
  revision: z.number(),
  inProgress: z.number(),
  waiting: z.number(),
  waitingTokens: z.number(),
  process: z.object({ rssBytes: z.number() }),
});
const loadSchema = z.object({ running: z.number(), heldTokens: z.number() });

async function read<Schema extends z.ZodType>(
  url: string,
  schema: Schema,
): Promise<z.infer<Schema> | undefined> {
  const reply = await callHttp({ method: 'GET', url, timeoutMs: TIMEOUT_MS });
  const parsed = schema.safeParse(reply.isOk ? parseJson(reply.value.body) : undefined);
  return parsed.success ? parsed.data : undefined;
}

async function printStatus(demo: RunningDemo): Promise<void> {
  const status = await read(`${demo.gatewayUrl}/status`, statusSchema);
  const loads = await Promise.all(demo.engineUrls.map((url) => read(`${url}/load`, loadSchema)));
  if (!status) return;
  const held = loads.map((load) => String(load?.heldTokens ?? '-')).join(' ');
  process.stdout.write(
    `revision=${String(status.revision)} in_progress=${String(status.inProgress)} ` +
      `waiting=${String(status.waiting)} waiting_tokens=${String(status.waitingTokens)} ` +
      `engine_tokens_held=[${held}]\n`,
  );
}

/** Prints how to use the demo, then its status every two seconds. */
export function printUsageAndStatus(demo: RunningDemo, clock: Clock): void {
  const body = JSON.stringify({
    model: SAMPLE_MODEL,
    prompt: 'What is my balance?',
    max_tokens: 16,
    stream: true,
  });
  process.stdout.write(
    `callers:   ${demo.gatewayUrl}\noperators: ${demo.adminUrl}\n\ntry:\n` +
      `  curl -Ni ${demo.gatewayUrl}/v1/completions` +
      ` -H 'authorization: Bearer ${sampleKey('members')}' -d '${body}'\n` +
      `  POPPYPOND_ADMIN=${demo.adminUrl} POPPYPOND_KEY=${SAMPLE_OPERATOR_KEY}` +
      ` npx poppypond explain REQUEST   # x-poppypond-request of the answer\n\n`,
  );
  clock.every(PERIOD_MS, () => {
    void printStatus(demo);
  });
}
