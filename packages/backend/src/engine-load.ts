import { parseJson } from '@poppypond/core';
import { callHttp } from '@poppypond/web';
import { z } from 'zod';

const TIMEOUT_MS = 2000;

/** Schema of a load report of an engine. */
export const loadReportSchema = z.object({
  sequence: z.number(),
  seen: z.number(),
  running: z.number(),
  decoding: z.number(),
  waiting: z.number(),
  prefillByPriority: z.array(z.number()),
  heldTokens: z.number(),
  kvTokens: z.number(),
  role: z.enum(['any', 'long', 'short']),
  isLeaving: z.boolean(),
  models: z.record(z.string(), z.string()),
});

/** A load report of an engine. */
export type EngineReport = Readonly<z.infer<typeof loadReportSchema>>;

/** Queries the load of an engine. Returns undefined if there is no valid response. */
export async function readEngineLoad(engineUrl: string): Promise<EngineReport | undefined> {
  const reply = await callHttp({ method: 'GET', url: `${engineUrl}/load`, timeoutMs: TIMEOUT_MS });
  if (reply.isErr) return undefined;
  const report = loadReportSchema.safeParse(parseJson(reply.value.body));
  return report.success ? report.data : undefined;
}
