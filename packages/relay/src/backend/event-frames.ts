/**
 * One event of a server-sent event stream: its raw bytes, its id if that is a number, and whether it
 * is one at all, with an id or data, and not only a comment or a blank line.
 */
export interface EventFrame {
  readonly bytes: Buffer;
  readonly id: number | undefined;
  readonly isEvent: boolean;
}

const LF_SEPARATOR = Buffer.from('\n\n');
const CRLF_SEPARATOR = Buffer.from('\r\n\r\n');

/** Size of the first buffer of an incomplete event; a full one is replaced by one of twice its size. */
const MIN_BUFFER_BYTES = 1024;

/** Returns the end of the first event whose separator ends after `from`; infinity if there is none. */
function endOfFrame(bytes: Buffer, from: number): number {
  const lfIndex = bytes.indexOf(LF_SEPARATOR, from);
  const crlfIndex = bytes.indexOf(CRLF_SEPARATOR, from);
  const lfEnd = lfIndex < 0 ? Number.POSITIVE_INFINITY : lfIndex + LF_SEPARATOR.length;
  const crlfEnd = crlfIndex < 0 ? Number.POSITIVE_INFINITY : crlfIndex + CRLF_SEPARATOR.length;
  return Math.min(lfEnd, crlfEnd);
}

/**
 * Reads the `id` line directly: event stream parsers skip events without data, and those must not be
 * delivered twice either.
 */
function toFrame(bytes: Buffer): EventFrame {
  const text = bytes.toString('latin1');
  const id = /^id:[ ]?(\d+)\r?$/m.exec(text)?.[1];
  return {
    bytes,
    id: id === undefined ? undefined : Number(id),
    isEvent: /^(id|data):/m.test(text),
  };
}

/**
 * Splits a byte stream into complete events without changing a byte; buffers an incomplete event.
 * Each byte is copied and searched a few times at most, however small the chunks are.
 */
export class EventFrameSplitter {
  #buffer: Buffer = Buffer.alloc(0);
  #partialBytes = 0;

  /** Whether an incomplete event is buffered. */
  get hasPartialFrame(): boolean {
    return this.#partialBytes > 0;
  }

  /** Size of the incomplete event that is buffered; 0 if there is none. */
  get partialBytes(): number {
    return this.#partialBytes;
  }

  /** Appends bytes and returns the events that they complete. */
  push(chunk: Buffer): readonly EventFrame[] {
    const frames: EventFrame[] = [];
    const searchFrom = Math.max(0, this.#partialBytes - CRLF_SEPARATOR.length + 1);
    const bytes = this.#partialBytes > 0 ? this.#append(chunk) : chunk;
    let start = 0;
    let end = endOfFrame(bytes, searchFrom);
    while (end <= bytes.length) {
      frames.push(toFrame(bytes.subarray(start, end)));
      start = end;
      end = endOfFrame(bytes, start);
    }
    if (start > 0 || this.#partialBytes === 0) this.#keep(bytes.subarray(start));
    return frames;
  }

  /** Appends bytes to the incomplete event and returns all of it. */
  #append(chunk: Buffer): Buffer {
    const length = this.#partialBytes + chunk.length;
    if (length > this.#buffer.length) this.#keep(this.#partial, 2 * length);
    chunk.copy(this.#buffer, this.#partialBytes);
    this.#partialBytes = length;
    return this.#partial;
  }

  get #partial(): Buffer {
    return this.#buffer.subarray(0, this.#partialBytes);
  }

  /** Copies an incomplete event into a new buffer, as events refer to the present one. */
  #keep(partial: Buffer, bytes = Math.max(MIN_BUFFER_BYTES, partial.length)): void {
    this.#partialBytes = partial.length;
    this.#buffer = partial.length > 0 ? Buffer.allocUnsafeSlow(bytes) : Buffer.alloc(0);
    partial.copy(this.#buffer);
  }
}
