import { createHash } from 'node:crypto';

/** Length of the id's prefix, which does not depend on the contents of the request body. */
const PREFIX_LENGTH = 6;
/** 96 bits in base64url, which makes collisions between the requests of a fleet negligible. */
const DIGEST_LENGTH = 16;

/** The contents by which two tries count as the same request, whatever request ids they carry. */
export interface RequestContent {
  /** The sender and the target of the request, as separate fields. */
  readonly head: readonly (string | null)[];
  readonly body: Buffer;
}

/** Returns the part of a content id that `ContentId.prefix` computes without hashing the body. */
export function prefixOf(content: string): string {
  return content.slice(0, PREFIX_LENGTH);
}

/**
 * Identifies a request by its sender, target and body: all tries of one request get the same id on
 * every host. The id is a digest that reveals neither head nor body, so it may appear in logs and
 * peer messages. Each part is computed lazily and once, because hashing a body of 1 MB takes 1.5
 * ms.
 */
export class ContentId {
  #prefix: string | undefined;
  #full: string | undefined;

  constructor(readonly content: RequestContent) {}

  /** The first characters of the id, computed without hashing the body. */
  get prefix(): string {
    this.#prefix ??= prefixOf(this.#hash().digest('base64url'));
    return this.#prefix;
  }

  /** The complete id. */
  get full(): string {
    this.#full ??= this.prefix + this.#digest();
    return this.#full;
  }

  #digest(): string {
    return this.#hash().update(this.content.body).digest('base64url').slice(0, DIGEST_LENGTH);
  }

  #hash() {
    const { head, body } = this.content;
    return createHash('sha256').update(JSON.stringify([...head, body.length]));
  }
}
