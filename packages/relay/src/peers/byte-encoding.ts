import { unpack } from 'msgpackr';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { z } from 'zod';

/** Nothing that a platform keeps in one row is larger. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024;

/** Compresses bytes for the way to a peer. */
export function compressBytes(bytes: Buffer): Buffer {
  return deflateRawSync(bytes);
}

/** The bytes that were compressed; undefined if these are none. */
export function decompressBytes(packed: Uint8Array): Buffer | undefined {
  try {
    return inflateRawSync(packed, { maxOutputLength: MAX_DECOMPRESSED_BYTES });
  } catch {
    return undefined;
  }
}

/** What was encoded, checked by its schema; undefined if these bytes are none of that. */
export function decodeAs<Decoded>(
  schema: z.ZodType<Decoded>,
  bytes: Uint8Array,
): Decoded | undefined {
  try {
    const parsed = schema.safeParse(unpack(bytes));
    return parsed.success ? parsed.data : undefined;
  } catch {
    return undefined;
  }
}
