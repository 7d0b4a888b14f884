import { ReceivedBytes } from '@poppypond/web';
import { IncomingMessage } from 'node:http';
import { CallerConnection } from './caller-connection.js';

/** Smaller chunks that are parsed in the same turn of the event loop are passed on together. */
const MIN_CHUNK_BYTES = 4096;
/** More small chunks in one turn take the processor for milliseconds. */
const MANY_CHUNKS = 1000;

/**
 * A caller's request. A message that is paused keeps every chunk that is still parsed as an object of
 * its own, which for chunks of one byte is a hundred times its size. This one is never paused: its
 * connection is, and what is parsed after that is passed on.
 */
export class CallerMessage extends IncomingMessage {
  readonly #connection = CallerConnection.of(this.socket);
  readonly #smallChunks = new ReceivedBytes();
  #smallChunkCount = 0;

  override _read(size: number): void {
    // The method of the base class resumes the socket.
    if (!this.#connection.isHeld) super._read(size);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    const bytes = chunk instanceof Buffer ? chunk.length : 0;
    this.#connection.onParsed(bytes);
    if (chunk instanceof Buffer && bytes < MIN_CHUNK_BYTES) {
      this.#pushSmall(chunk);
      return true;
    }
    this.#flush();
    return super.push(chunk, encoding);
  }

  #pushSmall(chunk: Buffer): void {
    this.#smallChunks.push(chunk);
    this.#smallChunkCount += 1;
    if (this.#smallChunkCount > 1) return;
    setImmediate(() => {
      if (this.#smallChunkCount > MANY_CHUNKS) this.#connection.onManyChunks();
      this.#flush();
    });
  }

  /** Passes on the small chunks that were parsed. */
  #flush(): void {
    this.#smallChunkCount = 0;
    if (this.#smallChunks.length > 0) super.push(this.#smallChunks.take());
  }
}
