import { deflateRawSync, inflateRawSync } from 'node:zlib';

/** A datagram holds 64 KB; the fewer fragments the better. */
const MOST_PACKED_BYTES = 24 * 1024;
/** Nothing that a platform keeps in one row is larger. */
const MOST_UNPACKED_BYTES = 8 * 1024 * 1024;

/** Compresses bytes for a datagram; null where they stay too long for one. */
export function packBytes(bytes: Buffer): Buffer | null {
  const packed = deflateRawSync(bytes);
  return packed.length <= MOST_PACKED_BYTES ? packed : null;
}

/** The bytes that were compressed; undefined if these are none. */
export function unpackBytes(packed: Uint8Array): Buffer | undefined {
  try {
    return inflateRawSync(packed, { maxOutputLength: MOST_UNPACKED_BYTES });
  } catch {
    return undefined;
  }
}
