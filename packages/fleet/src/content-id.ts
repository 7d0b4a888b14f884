import { createHash } from 'node:crypto';

/** So many characters of a name are known without reading the body of a request. */
const PREFIX_LENGTH = 6;
/** 96 bits in base64url: no two requests of a fleet get the same by chance. */
const DIGEST_LENGTH = 16;

/** What makes two tries the same request, whatever identifiers they carry. */
export interface RequestContent {
  /** Whose it is and what it is sent to, part by part. */
  readonly head: readonly (string | null)[];
  readonly body: Buffer;
}

/** The part of a name that `ContentId` tells without the body. */
export function prefixOf(content: string): string {
  return content.slice(0, PREFIX_LENGTH);
}

/**
 * Names what is asked, by whom: the same for all tries of one request, at whatever host. It tells neither
 * head nor body, so that it may stand in logs and messages. Each part is computed once, when it is first
 * asked for, as hashing a body of a megabyte takes 1.5 ms.
 */
export class ContentId {
  #prefix: string | undefined;
  #full: string | undefined;

  constructor(readonly content: RequestContent) {}

  /** The first characters of the name, which the body has no part in. */
  get prefix(): string {
    this.#prefix ??= prefixOf(this.#hash().digest('base64url'));
    return this.#prefix;
  }

  /** The whole name. */
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
