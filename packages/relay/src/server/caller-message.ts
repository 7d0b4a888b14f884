import { ChunkJoiner } from '@poppypond/web';
import { IncomingMessage } from 'node:http';
import { CallerConnection } from './caller-connection.js';

/** More small chunks in one turn of the event loop take the processor for milliseconds. */
const MANY_CHUNKS = 1000;

/**
 * A caller's request. A message that is paused keeps every chunk that is still parsed as an object of
 * its own, which for chunks of one byte is a hundred times its size. This one is never paused: its
 * connection is, and what is parsed after that is passed on.
 */
export class CallerMessage extends IncomingMessage {
  readonly #connection = CallerConnection.of(this.socket);
  readonly #joiner = new ChunkJoiner((bytes, chunkCount) => {
    if (chunkCount > MANY_CHUNKS) this.#connection.onManyChunks();
    super.push(bytes);
  });

  override _read(size: number): void {
    // The method of the base class resumes the socket.
    if (!this.#connection.isHeld) super._read(size);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    if (chunk instanceof Buffer) {
      this.#connection.onParsed(chunk.length);
      this.#joiner.push(chunk);
      return this.readableLength < this.readableHighWaterMark;
    }
    this.#connection.onParsed(0);
    this.#joiner.flush();
    return super.push(chunk, encoding);
  }
}
