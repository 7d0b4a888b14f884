import type { ClientRequest, IncomingMessage } from 'node:http';

/**
 * Statuses of a final response (RFC 9110, section 15). Lower ones are interim responses, which Node
 * does not pass on, except 101 and invalid ones below 100.
 */
const MIN_FINAL_STATUS = 200;
const FINAL_STATUS_END = 600;

/**
 * Bytes of interim responses and blank lines that may precede the final response, with its head and
 * what arrives together with it. Node bounds each head, but not their number.
 */
const MAX_BYTES_BEFORE_BODY = 256 * 1024;

/** Called when the head of a response has arrived, or when none will; exactly one is, once. */
export interface ResponseHandlers {
  readonly onResponse: (response: IncomingMessage) => void;
  /** `detail`: no response arrived, or none that HTTP allows. */
  readonly onFailure: (detail: string) => void;
}

function isFinalStatus(status: number | undefined): boolean {
  return status !== undefined && status >= MIN_FINAL_STATUS && status < FINAL_STATUS_END;
}

/**
 * Waits for the final response to a request that offers no upgrade. Node reports the end of such a
 * request by any of four events, and takes every three digits for a status.
 */
export function receiveResponse(
  outgoing: ClientRequest,
  { onResponse, onFailure }: ResponseHandlers,
): void {
  let isOver = false;
  const fail = (detail: string) => {
    if (isOver) return;
    isOver = true;
    onFailure(detail);
  };
  let stopCounting: () => void = () => undefined;
  outgoing.once('socket', (socket) => {
    let received = 0;
    const count = ({ length }: Buffer) => {
      received += length;
      if (received <= MAX_BYTES_BEFORE_BODY) return;
      outgoing.destroy();
      fail('too many bytes without a final response');
    };
    socket.on('data', count);
    stopCounting = () => {
      socket.off('data', count);
    };
  });
  outgoing.once('response', (response) => {
    stopCounting();
    if (isFinalStatus(response.statusCode)) {
      isOver = true;
      return onResponse(response);
    }
    response.on('error', () => undefined);
    outgoing.destroy();
    fail(`status ${String(response.statusCode)} is not that of a final response`);
  });
  outgoing.once('upgrade', (_response, socket) => {
    socket.destroy();
    fail('the server switched protocols without being asked to');
  });
  outgoing.on('error', ({ message }) => {
    fail(message);
  });
  outgoing.once('close', () => {
    fail('connection closed without a response');
  });
}
