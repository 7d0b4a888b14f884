import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;

/** An HTTP server that listens. */
export interface ListeningServer {
  readonly server: Server;
  readonly port: number;
  /** `http://ADDRESS:PORT`. */
  readonly url: string;
  /** Stops taking connections, then ends those that are open. */
  close(): Promise<void>;
}

/** Listens on `address:port`; port 0 takes a free one. Rejects when the port is taken. */
export function listen(
  listener: RequestListener,
  address: string,
  port: number,
): Promise<ListeningServer> {
  const server = createServer({ maxHeaderSize: MAX_HEADER_BYTES }, listener);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = 0;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      const bound = server.address();
      const boundPort = typeof bound === 'object' && bound ? bound.port : port;
      resolve({
        server,
        port: boundPort,
        url: `http://${address}:${String(boundPort)}`,
        close: () => closeServer(server),
      });
    });
  });
}

function closeServer(server: Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
