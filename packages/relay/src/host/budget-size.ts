/** Sizes in bytes that a host's budget is divided into. */
export interface BudgetSize {
  /** Above it, bodies and servers of slow callers are read no further. */
  readonly firstWatermarkBytes: number;
  /** Above it, new requests are refused. */
  readonly secondWatermarkBytes: number;
  /** What can be held at most. */
  readonly limitBytes: number;
  /** What one response may hold for its caller. */
  readonly responseBytes: number;
  /** Resident memory of the process that is not counted as held. */
  readonly processBytes: number;
}

const BYTES_PER_MEGABYTE = 1_000_000;
/**
 * Resident memory of a relay that serves a usual load: code, heap, and buffers that are not
 * collected yet.
 */
const PROCESS_MEGABYTES = 110;
/**
 * Part of the memory that stays free for what the kernel holds of connections, and for garbage
 * between two comparisons with the resident size. With 0.1, bursts on loopback came to 200 MB of
 * 202.
 */
const KERNEL_SHARE = 0.2;
/** Part of the memory that can be held however small the host is. */
const MIN_LIMIT_SHARE = 0.1;
const FIRST_WATERMARK_SHARE = 0.5;
/** Leaves room above it for the requests that were accepted before. */
const SECOND_WATERMARK_SHARE = 0.75;
/** A single slow caller never takes more than this part of what the first watermark allows. */
const RESPONSE_SHARE = 0.25;
/** The largest answer that is taken from a server. */
const MAX_RESPONSE_BYTES = 4 * 1024 * 1024;

/** Divides the memory of a host. Returns undefined if it is not known, which 0 stands for. */
export function budgetSizeOf(memoryMegabytes: number): BudgetSize | undefined {
  if (memoryMegabytes <= 0) return undefined;
  const memoryBytes = memoryMegabytes * BYTES_PER_MEGABYTE;
  const processBytes = PROCESS_MEGABYTES * BYTES_PER_MEGABYTE;
  const freeBytes = memoryBytes * (1 - KERNEL_SHARE) - processBytes;
  const limitBytes = Math.max(freeBytes, memoryBytes * MIN_LIMIT_SHARE);
  const firstWatermarkBytes = limitBytes * FIRST_WATERMARK_SHARE;
  return {
    firstWatermarkBytes,
    secondWatermarkBytes: limitBytes * SECOND_WATERMARK_SHARE,
    limitBytes,
    responseBytes: Math.min(MAX_RESPONSE_BYTES, firstWatermarkBytes * RESPONSE_SHARE),
    processBytes,
  };
}
