import { Packr } from 'msgpackr';
import type { WebSocket } from 'ws';

const packr = new Packr({ useRecords: false });

/** Bytes and messages sent and received over all links. */
export interface LinkTraffic {
  bytesIn: number;
  bytesOut: number;
  messagesIn: number;
  messagesOut: number;
}

/**
 * Sends a message. Drops it and returns false if the link is not open or its send buffer is full.
 */
export function sendMessage(
  socket: WebSocket,
  message: unknown,
  maxBufferedBytes: number,
  traffic: LinkTraffic,
): boolean {
  if (socket.readyState !== socket.OPEN || socket.bufferedAmount > maxBufferedBytes) return false;
  const bytes = packr.pack(message);
  traffic.bytesOut += bytes.length;
  traffic.messagesOut += 1;
  socket.send(bytes);
  return true;
}

/** Decodes a message. Returns undefined if it is malformed. */
export function readMessage(data: unknown, traffic: LinkTraffic): unknown {
  if (!Buffer.isBuffer(data)) return undefined;
  traffic.bytesIn += data.length;
  traffic.messagesIn += 1;
  try {
    const message: unknown = packr.unpack(data);
    return message;
  } catch {
    return undefined;
  }
}
