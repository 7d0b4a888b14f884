import type { Clock } from '@poppypond/core';
import {
  ConfigurationHolder,
  ConfigurationReader,
  ConfigurationWriter,
  PlatformConnection,
  PlatformTable,
} from '@poppypond/state';
import type { Log } from '@poppypond/telemetry';
import { listen, Router, sendJson, tlsFilesOf } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';
import { addAuditRoutes } from './audit/app.js';
import type { AdminContext } from './context.js';
import { addFleetRoutes } from './fleet/app.js';
import { addObjectRoutes } from './objects/app.js';
import type { AdminSettings } from './settings.js';

/** Returns a router with all paths of the operators' API, which openapi.json describes. */
export function createRouter(context: AdminContext): Router {
  const router = new Router((error) => {
    const detail = error instanceof Error ? error.message : String(error);
    context.log.error('handler_failed', { detail });
  });
  addObjectRoutes(router, context);
  addAuditRoutes(router, context);
  addFleetRoutes(router, context);
  router.on('GET', '/healthz', ({ response }) => {
    sendJson(response, 200, {});
  });
  return router;
}

/** Starts the operators' HTTP API. */
export async function startAdmin(
  settings: AdminSettings,
  clock: Clock,
  log: Log,
): Promise<ListeningServer> {
  const connection = new PlatformConnection(settings.platformUrl, settings.storeTimeoutMs);
  const table = new PlatformTable(connection);
  const reader = new ConfigurationReader(new ConfigurationHolder(), table, clock);
  const writer = new ConfigurationWriter(table, clock);
  const context: AdminContext = { settings, clock, log, table, reader, writer };
  const router = createRouter(context);
  const { listenAddress, listenPort } = settings;
  const server = await listen(router.handle, listenAddress, listenPort, tlsFilesOf(settings));
  log.info('serving', { url: server.url });
  return server;
}
