import type { IncomingMessage } from 'node:http';

/** Objects of Node and of the relay that each connection and each request takes, in bytes. */
export const CONNECTION_BYTES = 4096;
const REQUEST_BYTES = 16_384;
/** A name or value of a header, besides its characters: the string, and its places in lists. */
const HEADER_STRING_BYTES = 48;
/** The same for a head that is not complete, by its bytes: its lines may have a few bytes each. */
const OPEN_HEAD_FACTOR = 16;
/** Separators of a header line, and of a request line with its version. */
const LINE_BYTES = 4;
const REQUEST_LINE_BYTES = 14;

/** Most that a connection with one request of the usual size costs. */
export const ORDINARY_COST_BYTES = 2 * (CONNECTION_BYTES + REQUEST_BYTES);

/** Returns the size of a head in bytes, but for unusual spaces. */
export function headBytesOf({ method = '', rawHeaders, url = '' }: IncomingMessage): number {
  let bytes = method.length + url.length + REQUEST_LINE_BYTES;
  bytes += (rawHeaders.length / 2) * LINE_BYTES;
  for (const text of rawHeaders) bytes += text.length;
  return bytes;
}

/** Estimates what the objects of a request take that was read, besides its body. */
export function requestCostBytes({ rawHeaders }: IncomingMessage, headBytes: number): number {
  return REQUEST_BYTES + headBytes + rawHeaders.length * HEADER_STRING_BYTES;
}

/** Estimates what a head takes of which `bytes` bytes have arrived. */
export function openHeadCostBytes(bytes: number): number {
  return bytes * OPEN_HEAD_FACTOR;
}
