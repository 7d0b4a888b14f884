import { getJson } from '@poppypond/launch';
import { z } from 'zod';

const statusSchema = z.object({
  traffic: z.object({ bytesIn: z.number(), bytesOut: z.number(), messagesIn: z.number() }),
  store: z.object({ reads: z.number(), writes: z.number() }),
  process: z.object({ rssBytes: z.number(), heapBytes: z.number(), cpuMicroseconds: z.number() }),
});

/** Resources that a gateway used over a period. */
export interface GatewayUsage {
  readonly seconds: number;
  /** Processor time in percent of one core. */
  readonly corePercent: number;
  readonly peerBytesPerSecond: number;
  readonly readsPerSecond: number;
  readonly writesPerSecond: number;
  readonly rssMb: number;
}

const MS_PER_SECOND = 1000;
const BYTES_PER_MB = 1e6;
const MICROSECONDS_PER_PERCENT = 1e4;

/** Measures the resources that one gateway uses while `during` runs. */
export async function measureGatewayUsage(
  url: string,
  during: () => Promise<unknown>,
): Promise<GatewayUsage> {
  const before = statusSchema.parse(await getJson(`${url}/status`));
  const startedAt = performance.now();
  await during();
  const seconds = (performance.now() - startedAt) / MS_PER_SECOND;
  const after = statusSchema.parse(await getJson(`${url}/status`));
  const cpu = after.process.cpuMicroseconds - before.process.cpuMicroseconds;
  const bytes =
    after.traffic.bytesIn +
    after.traffic.bytesOut -
    before.traffic.bytesIn -
    before.traffic.bytesOut;
  return {
    seconds,
    corePercent: cpu / seconds / MICROSECONDS_PER_PERCENT,
    peerBytesPerSecond: bytes / seconds,
    readsPerSecond: (after.store.reads - before.store.reads) / seconds,
    writesPerSecond: (after.store.writes - before.store.writes) / seconds,
    rssMb: after.process.rssBytes / BYTES_PER_MB,
  };
}

/** Returns a function that resolves after a real time, during which a gateway can be measured. */
export function idleFor(milliseconds: number): () => Promise<void> {
  return () => new Promise((resolve) => setTimeout(resolve, milliseconds));
}
