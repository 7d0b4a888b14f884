import { monitorEventLoopDelay } from 'node:perf_hooks';
import { sendJson } from '@poppypond/web';
import type { Router } from '@poppypond/web';
import type { PeerMesh } from '@poppypond/peer';
import type { PlatformConnection } from '@poppypond/state';
import type { GatewayContext } from '../context.js';

const NANOSECONDS_PER_MS = 1e6;
/** A resolution of 5 ms wakes the event loop 200 times a second: 4% of a core on an idle host. */
const LOOP_RESOLUTION_MS = 50;
const METRICS_PERIOD_MS = 1000;

/** Dependencies of the status routes. */
export interface StatusSources {
  readonly context: GatewayContext;
  readonly mesh: PeerMesh;
  readonly connection: PlatformConnection;
}

/** Returns why this host is not ready, or undefined if it is ready. */
function whyNotReady({ context }: StatusSources): string | undefined {
  if (context.lifecycle.state !== 'serving') return context.lifecycle.state;
  if (context.configuration.current.revision === 0) return 'no_configuration';
  return context.isIsolated() ? 'cut_off' : undefined;
}

function statusOf(sources: StatusSources, longestPauseMs: number) {
  const { context, mesh, connection } = sources;
  const now = context.clock.monotonicMs();
  return {
    host: context.settings.host,
    zone: context.settings.zone,
    incarnation: context.owner.incarnation,
    state: context.lifecycle.state,
    revision: context.configuration.current.revision,
    inProgress: context.lifecycle.inProgress,
    waiting: context.dispatcher.waitingCount,
    waitingTokens: context.dispatcher.waitingTokens,
    lanes: {
      shortShare: context.lanes.split.shortShare,
      cutOffTokens: Number.isFinite(context.lanes.split.cutOffTokens)
        ? context.lanes.split.cutOffTokens
        : null,
      use: context.lanes.use,
    },
    peers: mesh.members().map(({ member, state }) => ({
      host: member.host,
      zone: member.zone,
      state,
      callerUrl: member.callerUrl,
    })),
    traffic: { ...mesh.traffic },
    store: { ...connection.calls },
    decisions: {
      unsaved: context.decisions.unsavedCount,
      saved: context.decisions.saved,
      lost: context.decisions.lost,
    },
    shares: context.shares.list(),
    pendingOutcomes: context.ledger.pendingOutcomes,
    engines: context.engines.all().map((engine) => ({
      name: engine.name,
      health: engine.health.state(now),
      reportAgeMs: Math.round(now - engine.load.reportAtMs),
      prefillTokensPerMs: engine.load.state(now).prefillTokensPerMs,
    })),
    process: {
      rssBytes: process.memoryUsage.rss(),
      heapBytes: process.memoryUsage().heapUsed,
      cpuMicroseconds: process.cpuUsage().user + process.cpuUsage().system,
      longestPauseMs,
    },
  };
}

/** Sends totals since the start, from which the StatsD backend derives rates. */
function sendTotals({ context, connection }: StatusSources): void {
  context.metrics.gauge('store.reads', connection.calls.reads);
  context.metrics.gauge('store.writes', connection.calls.writes);
  context.metrics.gauge('store.failures', connection.calls.failures);
  context.metrics.gauge('decisions.saved', context.decisions.saved);
  context.metrics.gauge('decisions.lost', context.decisions.lost);
}

/** Registers `/healthz`, `/readyz` and `/status`, and sends gauges periodically. */
export function addStatusRoutes(router: Router, sources: StatusSources): void {
  const { context, mesh } = sources;
  const eventLoopDelay = monitorEventLoopDelay({ resolution: LOOP_RESOLUTION_MS });
  eventLoopDelay.enable();
  router
    .on('GET', '/healthz', ({ response }) => {
      sendJson(response, 200, { state: context.lifecycle.state });
    })
    .on('GET', '/readyz', ({ response }) => {
      const why = whyNotReady(sources);
      sendJson(response, why === undefined ? 200 : 503, {
        ready: why === undefined,
        why: why ?? '',
      });
    })
    .on('GET', '/status', ({ response, query }) => {
      const longestPauseMs = eventLoopDelay.max / NANOSECONDS_PER_MS;
      if (query.get('reset') === '1') eventLoopDelay.reset();
      sendJson(response, 200, statusOf(sources, longestPauseMs));
    });
  context.clock.every(METRICS_PERIOD_MS, () => {
    context.metrics.gauge('requests.waiting', context.dispatcher.waitingCount);
    context.metrics.gauge('requests.waiting_tokens', context.dispatcher.waitingTokens);
    context.metrics.gauge('config.revision', context.configuration.current.revision);
    context.metrics.gauge('peers.connected', mesh.linked().length);
    context.metrics.timing('loop.pause', eventLoopDelay.max / NANOSECONDS_PER_MS);
    sendTotals(sources);
  });
}
