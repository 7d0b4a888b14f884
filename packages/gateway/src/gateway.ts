import { runAttempt } from '@poppypond/backend';
import { newOwner } from '@poppypond/core';
import type { Clock, Milliseconds, Owner } from '@poppypond/core';
import {
  DEFAULT_PREDICTED_START,
  LeastRequestsPlacement,
  LeastTokensPlacement,
  SINGLE_LANE,
  PredictedStartPlacement,
  RetryBudget,
  RoundRobinPlacement,
  TokenCorrection,
} from '@poppypond/policy';
import type { Placement, RandomSource } from '@poppypond/policy';
import { PeerMesh } from '@poppypond/peer';
import {
  AtMostOnceLedger,
  ConfigurationHolder,
  DecisionLog,
  PlatformConnection,
  PlatformHosts,
  PlatformObjects,
  PlatformTable,
} from '@poppypond/state';
import type { Log, Metrics } from '@poppypond/telemetry';
import { listen, Router, tlsFilesOf } from '@poppypond/web';
import type { ListeningServer } from '@poppypond/web';
import { match } from 'ts-pattern';
import { addCompletionRoutes } from './completions/app.js';
import { ConfigurationSync } from './configuration/configuration-sync.js';
import type { GatewayContext } from './context.js';
import { Dispatcher } from './engines/dispatcher.js';
import { EngineDirectory } from './engines/engine-directory.js';
import { LaneTuner } from './engines/lane-tuner.js';
import { ReservationManager } from './engines/reservation-manager.js';
import { addExplainRoutes } from './explain/app.js';
import { startDecisionReplication } from './explain/decision-replication.js';
import { Mutex } from './groups/mutex.js';
import { LeavingServersMonitor } from './hosts/leaving-servers-monitor.js';
import { Lifecycle } from './lifecycle/lifecycle.js';
import { createRandom } from './random.js';
import { addServiceRoutes } from './services/app.js';
import { HostQuarantine } from './quarantine/host-quarantine.js';
import { ServiceDirectory } from './services/service-directory.js';
import { reclaimDelayMs, ShareManager } from './shares/share-manager.js';
import type { GatewaySettings } from './settings.js';
import { addClaimRoutes } from './status/claims-app.js';
import { addStatusRoutes } from './status/app.js';

/** A started gateway. */
export interface RunningGateway {
  readonly url: string;
  readonly peerUrl: string;
  readonly context: GatewayContext;
  /**
   * Reports not ready to the load balancer, completes the requests in progress, saves outcomes and
   * decisions, and returns budget shares.
   */
  stop(): Promise<void>;
}

const OUTCOME_POLL_MS = 100;
const MAX_OUTCOME_POLLS = 100;

function choosePlacement(settings: GatewaySettings): Placement {
  return match(settings.placement)
    .with('round-robin', () => new RoundRobinPlacement())
    .with('least-requests', () => new LeastRequestsPlacement())
    .with('least-tokens', () => new LeastTokensPlacement())
    .with('predicted-start', () => {
      const chosen = { ...DEFAULT_PREDICTED_START, ...settings };
      return new PredictedStartPlacement(chosen, SINGLE_LANE);
    })
    .exhaustive();
}

interface Platform {
  readonly connection: PlatformConnection;
  readonly table: PlatformTable;
  readonly objects: PlatformObjects;
  readonly hosts: PlatformHosts;
}

function connectPlatform(settings: GatewaySettings): Platform {
  const connection = new PlatformConnection(settings.platformUrl, settings.storeTimeoutMs);
  return {
    connection,
    table: new PlatformTable(connection),
    objects: new PlatformObjects(connection),
    hosts: new PlatformHosts(connection),
  };
}

/** Time of the table's last response; until the first one, the start of this process. */
class LastStoreResponse {
  readonly #startedAtMs: Milliseconds;
  source: () => Milliseconds | undefined = () => undefined;

  constructor(clock: Clock) {
    this.#startedAtMs = clock.monotonicMs();
  }

  atMs(): Milliseconds {
    return this.source() ?? this.#startedAtMs;
  }
}

interface ContextDependencies {
  readonly clock: Clock;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly owner: Owner;
  readonly mesh: PeerMesh;
  readonly lastStoreResponse: LastStoreResponse;
}

function createContext(
  settings: GatewaySettings,
  platform: Platform,
  dependencies: ContextDependencies,
): GatewayContext {
  const { clock, log, metrics, owner, mesh, lastStoreResponse } = dependencies;
  const random: RandomSource = createRandom(settings.seed);
  const engines = new EngineDirectory(settings, owner, clock);
  const placement = choosePlacement(settings);
  const predictedStart = placement instanceof PredictedStartPlacement ? placement : undefined;
  const dispatcher = new Dispatcher(engines, placement, random, clock);
  const configuration = new ConfigurationHolder();
  const reclaimAfterMs = reclaimDelayMs(settings.notReadyAfterMs);
  const shares = new ShareManager(mesh, platform.table, clock, owner, log, { reclaimAfterMs });
  return {
    settings,
    clock,
    log,
    metrics,
    owner,
    random,
    configuration,
    zone: settings.zone,
    usesLateBinding: predictedStart?.settings.useLateBinding === true,
    runAttempt,
    weightOf: (name) => configuration.current.get('workspace', name)?.object.spec.weight ?? 1,
    cachedTokens: (id, prefix) => engines.find(id)?.prefixes.cachedTokens(prefix) ?? 0,
    settle: (charge, units) => {
      shares.budgets.settle(charge, units, clock.monotonicMs());
    },
    engines,
    services: new ServiceDirectory(random, clock),
    dispatcher,
    lanes: new LaneTuner(engines, predictedStart, clock),
    reservations: new ReservationManager(owner, clock),
    groupReservationMutex: new Mutex(),
    shares,
    correction: new TokenCorrection(),
    retries: new RetryBudget(settings.retryShare, settings.retryReserve),
    quarantine: new HostQuarantine({ clock, log, metrics, host: settings.host }),
    decisions: new DecisionLog(settings.host, platform.objects, clock, settings.decisionRing),
    ledger: new AtMostOnceLedger(platform.table, clock, owner),
    lifecycle: new Lifecycle(clock),
    isIsolated: () =>
      mesh.linked().length === 0 &&
      clock.monotonicMs() - lastStoreResponse.atMs() > settings.notReadyAfterMs,
    hostCount: () => 1 + mesh.members().length,
  };
}

function subscribeToConfiguration(context: GatewayContext): void {
  context.engines.onChange = () => {
    context.dispatcher.processQueue();
  };
  context.configuration.onChange((configuration) => {
    context.engines.sync(configuration);
    context.services.sync(configuration);
    context.dispatcher.processQueue();
  });
}

async function stopGateway(
  context: GatewayContext,
  servers: readonly ListeningServer[],
  sync: ConfigurationSync,
  mesh: PeerMesh,
): Promise<void> {
  context.log.info('stopping', { inProgress: context.lifecycle.inProgress });
  await context.lifecycle.drain(context.settings.drainDelayMs);
  for (let polls = 0; context.ledger.pendingOutcomes > 0 && polls < MAX_OUTCOME_POLLS; polls += 1) {
    await new Promise<void>((resolve) => {
      context.clock.after(OUTCOME_POLL_MS, resolve);
    });
  }
  await context.shares.returnAll();
  await context.decisions.flush();
  sync.stop();
  mesh.stop();
  context.engines.stop();
  await Promise.all(servers.map((server) => server.close()));
  context.metrics.close();
  context.log.info('stopped');
}

/** Starts a gateway. It accepts requests as soon as it has a configuration. */
export async function startGateway(
  settings: GatewaySettings,
  clock: Clock,
  log: Log,
  metrics: Metrics,
): Promise<RunningGateway> {
  const platform = connectPlatform(settings);
  const router = new Router((error) => {
    log.error('handler_failed', { detail: error instanceof Error ? error.message : String(error) });
  });
  const { listenAddress, listenPort } = settings;
  const server = await listen(router.handle, listenAddress, listenPort, tlsFilesOf(settings));
  const peerServer = await listen(
    (_request, response) => response.writeHead(404).end(),
    settings.listenAddress,
    settings.peerPort,
  );
  const peerUrl = peerServer.url.replace('http:', 'ws:');
  const owner = newOwner(settings.host);
  const self = { ...owner, zone: settings.zone, peerUrl, callerUrl: server.url };
  const mesh = new PeerMesh({ ...settings, self, seeds: settings.peers }, clock, peerServer.server);
  const lastStoreResponse = new LastStoreResponse(clock);
  const context = createContext(settings, platform, {
    clock,
    log,
    metrics,
    owner,
    mesh,
    lastStoreResponse,
  });
  const sync = new ConfigurationSync(context, platform.table, mesh);
  lastStoreResponse.source = () => sync.lastStoreResponseAtMs;
  subscribeToConfiguration(context);
  new LeavingServersMonitor(platform.hosts, mesh, context.engines, context.services, clock);
  startDecisionReplication(mesh, context.decisions, clock);
  clock.every(settings.decisionFlushMs, () => {
    void context.decisions.flush();
  });
  addCompletionRoutes(router, context);
  addServiceRoutes(router, context);
  addExplainRoutes(router, context, mesh);
  addClaimRoutes(router, context);
  addStatusRoutes(router, { context, mesh, connection: platform.connection });
  mesh.start();
  await sync.start();
  context.lifecycle.onServing();
  log.info('serving', { url: server.url, peerUrl });
  const servers = [server, peerServer];
  return {
    url: server.url,
    peerUrl,
    context,
    stop: () => stopGateway(context, servers, sync, mesh),
  };
}
