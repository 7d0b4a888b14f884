const EMPTY = Buffer.alloc(0);
/** Blocks of a body of unknown length double in size between these. */
const MIN_BLOCK_BYTES = 1024;
const MAX_BLOCK_BYTES = 16 * 1024;
/** From this size on, a body of known length is kept in one block. */
const MIN_JOINED_BYTES = 64 * 1024;

/**
 * Collects the chunks of a body whose length may be known before. Chunks are copied into blocks, so
 * that a body takes as much memory as its bytes, however small its chunks are.
 */
export class ReceivedBytes {
  #fullBlocks: Buffer[] = [];
  #block: Buffer = EMPTY;
  /** Bytes of the last block that are in use. */
  #blockLength = 0;
  #length = 0;

  /**
   * `expected`: length of the body; undefined if it is not known. One block takes all of a body of
   * known length once 64 KB have arrived; otherwise a large body would be held twice for a moment when
   * it is complete. A length that is only declared reserves nothing.
   */
  constructor(readonly expected?: number) {}

  /** Number of bytes received. */
  get length(): number {
    return this.#length;
  }

  push(chunk: Buffer): void {
    for (let copied = 0; copied < chunk.length;) {
      if (this.#blockLength === this.#block.length) this.#addBlock();
      const bytes = chunk.copy(this.#block, this.#blockLength, copied);
      this.#blockLength += bytes;
      this.#length += bytes;
      copied += bytes;
    }
  }

  /** Returns the body and keeps no reference to it. */
  take(): Buffer {
    const last = this.#block.subarray(0, this.#blockLength);
    const bytes = this.#fullBlocks.length === 0 ? last : Buffer.concat([...this.#fullBlocks, last]);
    this.clear();
    return bytes;
  }

  /** Keeps nothing; what a listener refers to exists as long as its message. */
  clear(): void {
    this.#fullBlocks = [];
    this.#block = EMPTY;
    this.#blockLength = 0;
    this.#length = 0;
  }

  #addBlock(): void {
    const wanted = Math.max(MIN_BLOCK_BYTES, 2 * this.#block.length);
    const expected = this.expected ?? 0;
    if (this.#length >= MIN_JOINED_BYTES && expected > this.#length) return this.#join(expected);
    if (this.#block.length > 0) this.#fullBlocks.push(this.#block);
    this.#block = Buffer.allocUnsafeSlow(Math.min(MAX_BLOCK_BYTES, wanted));
    this.#blockLength = 0;
  }

  /** Copies what was received into one block of `bytes` bytes. */
  #join(bytes: number): void {
    const received = this.take();
    this.#block = Buffer.allocUnsafeSlow(bytes);
    this.#blockLength = received.copy(this.#block);
    this.#length = this.#blockLength;
  }
}
