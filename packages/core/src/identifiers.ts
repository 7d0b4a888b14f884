import { randomBytes } from 'node:crypto';

/**
 * One run of one process on a host. A restarted process has a new incarnation,
 * which distinguishes leases and reservations of the old run from those of the new one.
 */
export interface Owner {
  readonly host: string;
  readonly incarnation: string;
}

const RANDOM_BYTES = 6;

/** Returns a random identifier of 48 bits, in hexadecimal. */
export function randomId(): string {
  return randomBytes(RANDOM_BYTES).toString('hex');
}

/** Creates the owner for this run of the process. */
export function newOwner(host: string): Owner {
  return { host, incarnation: randomId() };
}

/** Formats an owner as `host/incarnation`, the form that engines and table rows store. */
export function formatOwner(owner: Owner): string {
  return `${owner.host}/${owner.incarnation}`;
}

/** Parses the form written by `formatOwner`. Returns undefined for any other text. */
export function parseOwner(text: string): Owner | undefined {
  const [host, incarnation, ...rest] = text.split('/');
  if (!host || !incarnation || rest.length > 0) return undefined;
  return { host, incarnation };
}

/**
 * Creates a request identifier, `HOST.TIME36.RANDOM`. It contains the host that decides about the
 * request and the wall time in milliseconds (base 36), so that the decisions can be found without
 * an index.
 */
export function newRequestId(host: string, wallMs: number): string {
  return `${host}.${Math.floor(wallMs).toString(36)}.${randomId()}`;
}

/** Returns the host and wall time of a request identifier, or undefined if the text is not one. */
export function parseRequestId(
  id: string,
): { readonly host: string; readonly wallMs: number } | undefined {
  const match = /^([a-z0-9-]+)\.([0-9a-z]+)\.[0-9a-f]{12}$/.exec(id);
  if (!match?.[1] || !match[2]) return undefined;
  return { host: match[1], wallMs: Number.parseInt(match[2], 36) };
}
