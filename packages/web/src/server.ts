import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { RequestListener, Server } from 'node:http';
import { createServer as createTlsServer } from 'node:https';
import type { Server as TlsServer } from 'node:https';

const MAX_HEADER_BYTES = 16_384;
const HEADERS_TIMEOUT_MS = 10_000;
/** Longer than the idle timeout of our clients, so that no connection is closed during a call. */
const KEEP_ALIVE_TIMEOUT_MS = 75_000;
const TLS_RELOAD_PERIOD_MS = 2000;

/** Files in PEM format. They are reloaded when they change, so that a renewal needs no restart. */
export interface TlsFiles {
  readonly certificateFile: string;
  readonly keyFile: string;
}

/** An HTTP server that listens. */
export interface ListeningServer {
  readonly server: Server | TlsServer;
  readonly port: number;
  /** `http://ADDRESS:PORT`, or `https:` with TLS. */
  readonly url: string;
  /** Stops accepting connections, then closes the open ones. */
  close(): Promise<void>;
}

function readTls({ certificateFile, keyFile }: TlsFiles) {
  return { cert: readFileSync(certificateFile, 'utf8'), key: readFileSync(keyFile, 'utf8') };
}

/**
 * Reloads changed files. The previous certificate and key stay in use while the new ones do not
 * match.
 */
function reloadOnChange(server: TlsServer, files: TlsFiles): NodeJS.Timeout {
  let current = readTls(files);
  const timer = setInterval(() => {
    try {
      const next = readTls(files);
      if (next.cert === current.cert && next.key === current.key) return;
      server.setSecureContext(next);
      current = next;
    } catch {
      // A renewal may be half written; the next check reads it completely.
    }
  }, TLS_RELOAD_PERIOD_MS);
  timer.unref();
  return timer;
}

function createHttpOrTlsServer(listener: RequestListener, tls: TlsFiles | undefined) {
  const options = { maxHeaderSize: MAX_HEADER_BYTES };
  if (!tls) return createServer(options, listener);
  const server = createTlsServer({ ...options, ...readTls(tls) }, listener);
  const timer = reloadOnChange(server, tls);
  server.once('close', () => {
    clearInterval(timer);
  });
  return server;
}

/** Listens on `address:port`; port 0 selects a free one. Rejects if the port is in use. */
export function listen(
  listener: RequestListener,
  address: string,
  port: number,
  tls?: TlsFiles,
): Promise<ListeningServer> {
  const server = createHttpOrTlsServer(listener, tls);
  server.headersTimeout = HEADERS_TIMEOUT_MS;
  server.requestTimeout = 0;
  server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, address, () => {
      const bound = server.address();
      const boundPort = typeof bound === 'object' && bound ? bound.port : port;
      const scheme = tls ? 'https' : 'http';
      resolve({
        server,
        port: boundPort,
        url: `${scheme}://${address}:${String(boundPort)}`,
        close: () => closeServer(server),
      });
    });
  });
}

function closeServer(server: Server | TlsServer): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => {
      resolve();
    });
    server.closeAllConnections();
  });
}
