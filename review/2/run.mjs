// One machine of two gets SIGTERM while its callers stream long answers over kept channels, and send
// the next request on the same channel soon after the end of an answer.
import { Agent } from 'node:http';
import { send } from '../lib/caller.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { sleep } from '../lib/loopback.mjs';
import { streamAnswer } from '../lib/replica.mjs';
import { runCase } from '../lib/run-case.mjs';

const CALLERS = 24;
/** The site's longest answer of `member-query`: 87 events, each of 46 tokens at 1 ms and more. */
const EVENTS = 87;
const EVENT_MS = 50;
/** Longest pause of a caller between an answer and its next request. */
const MAX_THINK_MS = 20;
const WARM_UP_MS = 9000;
const GRACE_MS = 8000;
const DEADLINE_MS = 10_000;
/** Requests sent no later than this after the SIGTERM are excused in the last sixth of the grace. */
const EXCUSED_SENT_MS = 3000;

await runCase(import.meta.url, async (file, hasTrouble) => {
  const deployment = new Deployment(file);
  try {
    await deployment.open({ machines: 2, plain: 0, engines: 6 });
    return await play(deployment, hasTrouble);
  } finally {
    await deployment.close();
  }
});

async function play(deployment, hasTrouble) {
  const { relays, replicas } = deployment;
  const [stopped, other] = relays;
  for (const replica of replicas)
    replica.answer = (request, socket) => streamAnswer(request, socket, EVENTS, EVENT_MS);
  let isOver = false;
  const attempts = [];
  const caller = async (number) => {
    // The callers begin one after the other, over the time of one answer.
    await sleep((number * EVENTS * EVENT_MS) / CALLERS);
    let relay = stopped;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver) {
      const attempt = await send(relay, {
        path: '/query/member',
        agent,
        deadlineMs: DEADLINE_MS,
        headers: {
          'Poppypond-Model': 'm',
          'Poppypond-Token-Count': '4960,4002',
          'Poppypond-Prompt-Prefix': `0a:40,c${number}:4920`,
        },
        body: 'x'.repeat(1200),
      });
      attempts.push({ ...attempt, relay });
      // New channels are passed to the other machine once this one stops.
      if (!attempt.isComplete) relay = other;
      await sleep(Math.random() * MAX_THINK_MS);
    }
    agent.destroy();
  };
  const callers = Array.from({ length: CALLERS }, (_unused, number) => caller(number));
  await sleep(WARM_UP_MS);
  const termAtMs = performance.now();
  if (hasTrouble) {
    deployment.note(`SIGTERM  ${stopped.name}`);
    stopped.signal('SIGTERM');
  }
  await sleep(GRACE_MS);
  isOver = true;
  await Promise.all(callers);
  const endedMs = hasTrouble && Math.round(stopped.endedAtMs - termAtMs);
  if (hasTrouble) deployment.note(`ended    ${stopped.name} ${endedMs} ms after the SIGTERM`);
  return judge(deployment, stopped, attempts, termAtMs);
}

/** Returns whether the rule was broken. */
function judge(deployment, stopped, attempts, termAtMs) {
  const ran = new Map();
  for (const replica of deployment.replicas)
    for (const request of replica.ran) ran.set(request.headers['poppypond-request-id'], request);
  let lostCount = 0;
  for (const attempt of attempts) {
    const { id, relay, sentAtMs, tookMs, status, isComplete } = attempt;
    const request = ran.get(id);
    const sentMs = Math.round(sentAtMs - termAtMs);
    const isLost =
      relay === stopped &&
      !isComplete &&
      request !== undefined &&
      !request.brokeOff &&
      tookMs < DEADLINE_MS &&
      sentMs > EXCUSED_SENT_MS;
    if (isLost) lostCount += 1;
    const end = isComplete
      ? 'complete'
      : `ended early, ${request?.sentEvents ?? 0} of ${EVENTS} events`;
    deployment.note(
      `request  ${id} ${relay.name} sent ${sentMs} ms after, took ${Math.round(tookMs)} ms, ` +
        `run ${request ? 'yes' : 'no'} -> ${status} ${end}${isLost ? ' LOST' : ''}`,
    );
  }
  deployment.note(`lost     ${lostCount}`);
  return lostCount > 0;
}
