import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

const connections = new WeakMap<Socket, CallerConnection>();

/** A caller's connection, on which several requests may be pipelined. */
export class CallerConnection {
  /** Responses that have not ended, in the order of their requests. */
  readonly #unfinished = new Set<ServerResponse>();
  #isClosing = false;

  /** Returns the connection of a socket, which all requests on it share. */
  static of(socket: Socket): CallerConnection {
    const known = connections.get(socket);
    if (known) return known;
    const created = new CallerConnection(socket);
    connections.set(socket, created);
    return created;
  }

  private constructor(socket: Socket) {
    // Node reports the loss of a connection only to the first of its responses.
    socket.once('close', () => {
      for (const response of this.#unfinished) if (!response.socket) response.emit('close');
    });
  }

  /**
   * Adds the response to a request that was read. Returns false if the connection is closed after an
   * earlier response, so that this request must not be served.
   */
  add(response: ServerResponse): boolean {
    if (this.#isClosing) return false;
    this.#unfinished.add(response);
    response.once('close', () => {
      this.#unfinished.delete(response);
    });
    this.#isClosing = !response.shouldKeepAlive;
    return true;
  }

  /**
   * Closes the connection after this response, unless later requests on it were read: those would
   * get none. Returns whether it is closed, so that the response can say so.
   */
  closeAfter(response: ServerResponse): boolean {
    const isLast = [...this.#unfinished].at(-1) === response;
    this.#isClosing ||= isLast;
    return isLast;
  }
}
