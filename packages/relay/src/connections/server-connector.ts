import type { BackendServer } from '@poppypond/fleet';
import type { Duplex } from 'node:stream';
import type { Result } from 'true-myth';

/**
 * Why no connection to a server came up. `refused`: nothing listens there. `reset`: an overloaded
 * server accepts connections and resets them. `silent`: no answer. `unavailable`: the host that was
 * to connect did not try.
 */
export interface ConnectFailure {
  readonly why: 'refused' | 'reset' | 'silent' | 'unavailable';
  readonly detail: string;
  /**
   * Whether the server is at fault as far as any host can tell; otherwise it may only be this host
   * that does not reach it.
   */
  readonly isServerAtFault: boolean;
}

/** A connection on which nothing was sent yet, or why there is none. */
export type Connected = Result<Duplex, ConnectFailure>;

/** Opens connections to backend servers. */
export interface ServerConnector {
  /** Opens a connection of its own; gives up when `signal` is aborted. */
  connect(server: BackendServer, signal: AbortSignal): Promise<Connected>;
}

/**
 * Whether a process listens at the address of a server. `unknown`: this host does not reach it, and
 * does not know whether others do.
 */
export type ConnectionProbe = 'listening' | 'refused' | 'silent' | 'unknown';

/** Probes a server by a connection without data, which takes none of the server's request slots. */
export async function probeConnection(
  connector: ServerConnector,
  server: BackendServer,
): Promise<ConnectionProbe> {
  const connected = await connector.connect(server, new AbortController().signal);
  if (connected.isOk) {
    connected.value.destroy();
    return 'listening';
  }
  const { why, isServerAtFault } = connected.error;
  if (!isServerAtFault || why === 'unavailable') return 'unknown';
  return why === 'reset' ? 'listening' : why;
}
