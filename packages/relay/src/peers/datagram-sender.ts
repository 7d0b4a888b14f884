import type { PrometheusMetrics } from '@poppypond/telemetry';
import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { decodeMessage, encodeMessage } from './peer-messages.js';
import type { PeerMessage } from './peer-messages.js';
import type { PeerSender } from './peer-mesh.js';

/** Called with each message and the network address of its sender. */
export type MessageListener = (message: PeerMessage, address: string) => void;

/** Sends and receives peer messages as UDP datagrams. */
export class DatagramSender implements PeerSender {
  #lastMessage: PeerMessage | undefined;
  #lastBytes: Buffer = Buffer.alloc(0);
  #isClosed = false;
  /** Number of messages that the operating system has not accepted yet. */
  #pending = 0;

  private constructor(
    readonly socket: Socket,
    readonly metrics: PrometheusMetrics,
  ) {}

  /**
   * Binds `address:port`. Rejects if the port is in use. `onUnreadable` is called with each datagram
   * that is not a valid message.
   */
  static async bind(
    address: string,
    port: number,
    metrics: PrometheusMetrics,
    listener: MessageListener,
    onUnreadable: (datagram: Buffer, address: string) => void = () => undefined,
  ) {
    const socket = createSocket('udp4');
    await new Promise<void>((resolve, reject) => {
      socket.once('error', reject);
      socket.bind(port, address, resolve);
    });
    socket.removeAllListeners('error');
    // Sending to a host that is gone may fail at any time; heartbeats show which hosts are alive.
    socket.on('error', () => undefined);
    socket.on('message', (datagram, from) => {
      const message = decodeMessage(datagram);
      if (message) listener(message, from.address);
      else onUnreadable(datagram, from.address);
    });
    return new DatagramSender(socket, metrics);
  }

  send(address: string, port: number, message: PeerMessage): void {
    if (message !== this.#lastMessage) {
      this.#lastMessage = message;
      this.#lastBytes = encodeMessage(message);
    }
    if (this.#isClosed) return;
    const { kind } = message;
    this.metrics.count('poppypond_peer_messages_total', { kind });
    this.metrics.count('poppypond_peer_bytes_total', { kind }, this.#lastBytes.length);
    this.#pending += 1;
    this.socket.send(this.#lastBytes, port, address, () => {
      this.#pending -= 1;
      this.#closeWhenSent();
    });
  }

  /**
   * Sends nothing more. Messages sent before still go out, such as the `leave` message of a host
   * that stops.
   */
  close(): void {
    this.#isClosed = true;
    this.#closeWhenSent();
  }

  #closeWhenSent(): void {
    if (this.#isClosed && this.#pending === 0) this.socket.close();
  }
}
