import { ReceivedBytes } from '@poppypond/web';
import { IncomingMessage } from 'node:http';
import { CallerConnection } from './caller-connection.js';

/** Smaller chunks of one read are passed on together. */
const MIN_CHUNK_BYTES = 4096;

/**
 * A caller's request. A message that is paused keeps every chunk that is still parsed as an object of
 * its own, which for chunks of one byte is a hundred times its size. This one is never paused: its
 * connection is, and what is parsed after that is passed on.
 */
export class CallerMessage extends IncomingMessage {
  readonly #connection = CallerConnection.of(this.socket);
  readonly #smallChunks = new ReceivedBytes();

  override _read(size: number): void {
    // The method of the base class resumes the socket.
    if (!this.#connection.isHeld) super._read(size);
  }

  override push(chunk: unknown, encoding?: BufferEncoding): boolean {
    const bytes = chunk instanceof Buffer ? chunk.length : 0;
    this.#connection.onParsed(bytes);
    const isSmall = chunk instanceof Buffer && bytes < MIN_CHUNK_BYTES;
    if (isSmall && this.#connection.flushAfterRead(this)) {
      this.#smallChunks.push(chunk);
      return true;
    }
    this.flush();
    return super.push(chunk, encoding);
  }

  /** Passes on the small chunks that were parsed. */
  flush(): void {
    if (this.#smallChunks.length > 0) super.push(this.#smallChunks.take());
  }
}
