import { ReceivedBytes } from './received-bytes.js';

/** Larger chunks are passed on at once. */
const MIN_CHUNK_BYTES = 4096;

/**
 * Passes on the chunks of a stream in their order, small ones of the same turn of the event loop as
 * one: what a receiver does for each chunk may cost it more than the chunk's bytes.
 */
export class ChunkJoiner {
  readonly #small = new ReceivedBytes();
  #smallCount = 0;

  /** `onBytes` is called with the bytes of one or more chunks, and how many they are. */
  constructor(readonly onBytes: (bytes: Buffer, chunkCount: number) => void) {}

  push(chunk: Buffer): void {
    if (chunk.length >= MIN_CHUNK_BYTES) {
      this.flush();
      this.onBytes(chunk, 1);
      return;
    }
    this.#small.push(chunk);
    this.#smallCount += 1;
    if (this.#smallCount > 1) return;
    setImmediate(() => {
      this.flush();
    });
  }

  /** Passes on what was pushed. To be called before the end of the stream is handled. */
  flush(): void {
    const chunkCount = this.#smallCount;
    this.#smallCount = 0;
    if (this.#small.length > 0) this.onBytes(this.#small.take(), chunkCount);
  }
}
