import { randomBytes } from 'node:crypto';

/**
 * One run of one process on a host. A restarted process has a new incarnation,
 * so that what the old one held can be told from what the new one holds.
 */
export interface Owner {
  readonly host: string;
  readonly incarnation: string;
}

const RANDOM_BYTES = 6;

/** A short random identifier, 48 bits as hexadecimal. */
export function randomId(): string {
  return randomBytes(RANDOM_BYTES).toString('hex');
}

/** A new owner for this run of the process. */
export function newOwner(host: string): Owner {
  return { host, incarnation: randomId() };
}

/** `host/incarnation`, as engines and table rows hold it. */
export function formatOwner(owner: Owner): string {
  return `${owner.host}/${owner.incarnation}`;
}

/** Reads what `ownerText` wrote; undefined if it is not of that form. */
export function parseOwner(text: string): Owner | undefined {
  const [host, incarnation, ...rest] = text.split('/');
  if (!host || !incarnation || rest.length > 0) return undefined;
  return { host, incarnation };
}

/**
 * A request identifier names the host that decided and the wall time in milliseconds,
 * so that its decisions can be found without an index: `HOST.TIME36.RANDOM`.
 */
export function newRequestId(host: string, wallMs: number): string {
  return `${host}.${Math.floor(wallMs).toString(36)}.${randomId()}`;
}

/** The host and wall time in a request identifier; undefined if it is not one. */
export function parseRequestId(
  id: string,
): { readonly host: string; readonly wallMs: number } | undefined {
  const match = /^([a-z0-9-]+)\.([0-9a-z]+)\.[0-9a-f]{12}$/.exec(id);
  if (!match?.[1] || !match[2]) return undefined;
  return { host: match[1], wallMs: Number.parseInt(match[2], 36) };
}
