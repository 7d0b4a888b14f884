import { fault, parseJson } from '@poppypond/core';
import type { Fault } from '@poppypond/core';
import { parseSelector } from '@poppypond/objects';
import type { PeerMesh } from '@poppypond/peer';
import { decisionSchema, mergeDecisions } from '@poppypond/state';
import type { Decision } from '@poppypond/state';
import { bearerKey, callHttp, hashKey, sendFault, sendJson } from '@poppypond/web';
import type { RouteContext, Router } from '@poppypond/web';
import { Result } from 'true-myth';
import { z } from 'zod';
import type { GatewayContext } from '../context.js';

const PEER_TIMEOUT_MS = 1000;
const MAX_DECISIONS = 1000;
const DEFAULT_RANGE_MS = 900_000;

const peerReplySchema = z.object({ decisions: z.array(decisionSchema) });

/** Access of a key to decisions: to all, or to those of one workspace. */
interface DecisionReader {
  canRead(decision: Decision): boolean;
}

/** Authenticates by key. Operators read all decisions, callers those of their workspace. */
function authorizeReader(
  context: GatewayContext,
  route: RouteContext,
): Result<DecisionReader, Fault> {
  const key = bearerKey(route.request);
  const configuration = context.configuration.current;
  const hash = key === undefined ? '' : hashKey(key);
  const isOperator = configuration
    .list('operator')
    .some((operator) => operator.object.spec.sha256 === hash);
  if (isOperator) return Result.ok({ canRead: () => true });
  const workspace = configuration.findKey(hash)?.object.spec.workspace;
  if (workspace === undefined) return Result.err(fault('unauthenticated', ''));
  return Result.ok({ canRead: (decision) => decision.labels['workspace'] === workspace });
}

/** Queries linked hosts for decisions in their memory; hosts that do not respond are skipped. */
async function queryPeers(
  mesh: PeerMesh,
  path: string,
  authorization: string,
): Promise<readonly Decision[]> {
  const replies = await Promise.all(
    mesh.linked().map((member) =>
      callHttp({
        method: 'GET',
        url: `${member.callerUrl}${path}`,
        headers: { authorization },
        timeoutMs: PEER_TIMEOUT_MS,
      }),
    ),
  );
  return replies.flatMap((reply) => {
    if (reply.isErr) return [];
    const parsed = peerReplySchema.safeParse(parseJson(reply.value.body));
    return parsed.success ? parsed.data.decisions : [];
  });
}

function sendDecisions(
  route: RouteContext,
  reader: DecisionReader,
  decisions: readonly Decision[],
): void {
  const seen = decisions.filter((decision) => reader.canRead(decision)).slice(0, MAX_DECISIONS);
  if (seen.length === 0) return sendFault(route.response, fault('not_found', 'no such decision'));
  sendJson(route.response, 200, { decisions: seen.map((decision) => ({ ...decision })) });
}

function isLocalOnly(route: RouteContext): boolean {
  return route.query.get('local') === '1';
}

async function explainRequest(
  context: GatewayContext,
  mesh: PeerMesh,
  route: RouteContext,
): Promise<void> {
  const reader = authorizeReader(context, route);
  if (reader.isErr) return sendFault(route.response, reader.error);
  const id = route.params['id'] ?? '';
  const local = context.decisions.findLocal(id);
  if (isLocalOnly(route)) return sendDecisions(route, reader.value, local);
  const authorization = route.request.headers.authorization ?? '';
  const [stored, fromPeers] = await Promise.all([
    context.decisions.find(id),
    queryPeers(mesh, `/explain/${encodeURIComponent(id)}?local=1`, authorization),
  ]);
  const ownDecisions = stored.isOk ? stored.value : local;
  sendDecisions(route, reader.value, mergeDecisions(ownDecisions, fromPeers));
}

async function explainSelection(
  context: GatewayContext,
  mesh: PeerMesh,
  route: RouteContext,
): Promise<void> {
  const reader = authorizeReader(context, route);
  if (reader.isErr) return sendFault(route.response, reader.error);
  const { query } = route;
  const selector = parseSelector(query.get('selector') ?? '');
  if (!selector) {
    return sendFault(route.response, fault('bad_field', 'malformed', { path: 'selector' }));
  }
  const now = context.clock.wallMs();
  const toWallMs = Number(query.get('to') ?? now);
  const fromWallMs = Number(query.get('from') ?? toWallMs - DEFAULT_RANGE_MS);
  const range = { selector, fromWallMs, toWallMs };
  const local = context.decisions.queryLocal(range);
  if (isLocalOnly(route)) return sendDecisions(route, reader.value, local);
  const peerQuery = new URLSearchParams(query);
  peerQuery.set('local', '1');
  const authorization = route.request.headers.authorization ?? '';
  const [stored, fromPeers] = await Promise.all([
    context.decisions.query(range),
    queryPeers(mesh, `/explain?${peerQuery.toString()}`, authorization),
  ]);
  sendDecisions(route, reader.value, mergeDecisions(stored.isOk ? stored.value : local, fromPeers));
}

/** Registers `/explain`, which returns recorded decisions by request or by label selector. */
export function addExplainRoutes(router: Router, context: GatewayContext, mesh: PeerMesh): void {
  router
    .on('GET', '/explain/:id', (route) => explainRequest(context, mesh, route))
    .on('GET', '/explain', (route) => explainSelection(context, mesh, route));
}
