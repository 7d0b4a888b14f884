import { unpack } from 'msgpackr';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { z } from 'zod';

/** Upper bound for the size of a row in the platform's store. */
const MAX_DECOMPRESSED_BYTES = 8 * 1024 * 1024;

/** Compresses bytes for sending them to a peer. */
export function compressBytes(bytes: Buffer): Buffer {
  return deflateRawSync(bytes);
}

/** Decompresses bytes. Returns undefined if they are invalid or exceed `MAX_DECOMPRESSED_BYTES`. */
export function decompressBytes(packed: Uint8Array): Buffer | undefined {
  try {
    return inflateRawSync(packed, { maxOutputLength: MAX_DECOMPRESSED_BYTES });
  } catch {
    return undefined;
  }
}

/** Decodes MessagePack bytes and validates them. Returns undefined if they don't match `schema`. */
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
