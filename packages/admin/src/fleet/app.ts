import { fault, parseJson } from '@poppypond/core';
import type { Milliseconds } from '@poppypond/core';
import { callHttp, sendFault, sendJson } from '@poppypond/web';
import type { RouteContext, Router } from '@poppypond/web';
import { z } from 'zod';
import { guard } from '../access/guard.js';
import type { AdminContext } from '../context.js';

const GATEWAY_TIMEOUT_MS = 2000;
const POLL_PERIOD_MS = 50;
const DEFAULT_WAIT_MS = 10_000;

const statusSchema = z.looseObject({
  host: z.string(),
  zone: z.string(),
  state: z.string(),
  revision: z.number(),
  inProgress: z.number(),
  waiting: z.number(),
  peers: z.array(z.looseObject({ host: z.string(), callerUrl: z.string() })),
});

/**
 * A host's address and its reported status, which is undefined if it is unreachable or its response
 * is invalid.
 */
interface HostStatus {
  readonly url: string;
  readonly status: z.infer<typeof statusSchema> | undefined;
}

async function fetchHostStatus(url: string): Promise<HostStatus> {
  const reply = await callHttp({
    method: 'GET',
    url: `${url}/status`,
    timeoutMs: GATEWAY_TIMEOUT_MS,
  });
  if (reply.isErr) return { url, status: undefined };
  const parsed = statusSchema.safeParse(parseJson(reply.value.body));
  return { url, status: parsed.success ? parsed.data : undefined };
}

/** Queries the gateways in the settings and all peers that they report. */
async function fetchFleetStatus(gateways: readonly string[]): Promise<readonly HostStatus[]> {
  const gatewayStatuses = await Promise.all(gateways.map(fetchHostStatus));
  const gatewayUrls = new Set(gateways);
  const others = new Set(
    gatewayStatuses.flatMap(({ status }) => status?.peers.map((peer) => peer.callerUrl) ?? []),
  );
  const peerUrls = [...others].filter((url) => !gatewayUrls.has(url));
  return [...gatewayStatuses, ...(await Promise.all(peerUrls.map(fetchHostStatus)))];
}

function summarizeHost({ url, status }: HostStatus) {
  if (!status) return { url, state: 'unreachable' };
  const { host, zone, state, revision, inProgress, waiting } = status;
  return { url, host, zone, state, revision, inProgress, waiting };
}

async function showStatus(context: AdminContext, route: RouteContext): Promise<void> {
  const hosts = await fetchFleetStatus(context.settings.gateways);
  const { revision } = context.reader.holder.current;
  sendJson(route.response, 200, { revision, hosts: hosts.map(summarizeHost) });
}

/**
 * Responds when all reachable hosts have applied the revision, or with a fault after the timeout.
 */
async function waitForRevision(context: AdminContext, route: RouteContext): Promise<void> {
  const wanted = Number(route.params['revision']);
  const timeoutMs: Milliseconds = Number(route.query.get('timeout') ?? DEFAULT_WAIT_MS);
  const deadlineMs = context.clock.monotonicMs() + timeoutMs;
  for (;;) {
    const hosts = (await fetchFleetStatus(context.settings.gateways)).filter(
      ({ status }) => status,
    );
    const behind = hosts.filter(({ status }) => (status?.revision ?? 0) < wanted);
    if (hosts.length > 0 && behind.length === 0) {
      return sendJson(route.response, 200, { revision: wanted, hosts: hosts.map(summarizeHost) });
    }
    if (context.clock.monotonicMs() > deadlineMs) {
      const names = behind.map(({ url }) => url).join(' ');
      return sendFault(
        route.response,
        fault('wait_timeout', `hosts behind the revision: ${names}`),
      );
    }
    await new Promise<void>((resolve) => {
      context.clock.after(POLL_PERIOD_MS, resolve);
    });
  }
}

/**
 * Forwards a query about decisions to the first gateway that responds, with the operator's own key.
 */
async function explain(context: AdminContext, route: RouteContext, path: string): Promise<void> {
  const authorization = route.request.headers.authorization ?? '';
  for (const gateway of context.settings.gateways) {
    const reply = await callHttp({
      method: 'GET',
      url: `${gateway}${path}`,
      headers: { authorization },
      timeoutMs: GATEWAY_TIMEOUT_MS,
    });
    if (reply.isErr) continue;
    route.response.writeHead(reply.value.status, { 'content-type': 'application/json' });
    route.response.end(reply.value.body);
    return;
  }
  sendFault(route.response, fault('no_backend', 'no gateway responded'));
}

/** Registers the paths that report hosts and explain decisions. */
export function addFleetRoutes(router: Router, context: AdminContext): void {
  router
    .on(
      'GET',
      '/v1/status',
      guard(context, (route) => showStatus(context, route)),
    )
    .on(
      'GET',
      '/v1/wait/:revision',
      guard(context, (route) => waitForRevision(context, route)),
    )
    .on(
      'GET',
      '/v1/explain/:id',
      guard(context, (route) =>
        explain(context, route, `/explain/${encodeURIComponent(route.params['id'] ?? '')}`),
      ),
    )
    .on(
      'GET',
      '/v1/explain',
      guard(context, (route) => explain(context, route, `/explain?${route.query.toString()}`)),
    );
}
