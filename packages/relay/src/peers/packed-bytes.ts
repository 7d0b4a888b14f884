import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** Nothing that a platform keeps in one row is larger. */
const MOST_UNPACKED_BYTES = 8 * 1024 * 1024;

/** Compresses bytes for the way to a peer. */
export function packBytes(bytes: Buffer): Buffer {
  return deflateRawSync(bytes);
}

/** The bytes that were compressed; undefined if these are none. */
export function unpackBytes(packed: Uint8Array): Buffer | undefined {
  try {
    return inflateRawSync(packed, { maxOutputLength: MOST_UNPACKED_BYTES });
  } catch {
    return undefined;
  }
}
