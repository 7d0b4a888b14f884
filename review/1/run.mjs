// A replica spoils 2 in 100 of its answers: the status line is no status line of the protocol.
// Callers keep their channels and send unsafe requests to sound and to spoiling replicas.
import { Agent } from 'node:http';
import { send } from '../lib/caller.mjs';
import { Deployment } from '../lib/deployment.mjs';
import { sleep } from '../lib/loopback.mjs';
import { plainAnswer } from '../lib/replica.mjs';
import { runCase } from '../lib/run-case.mjs';

const MACHINES = 3;
const CALLERS_PER_MACHINE = 8;
const WARM_UP_MS = 3000;
/** `garble` of the site file: share 0.35 of the replicas, x 0.02 of their answers, for_s 5.5. */
const GARBLE_MS = 5500;
const SPOILED_EACH = 50;
const AFTER_MS = 2000;
const WORK_MS = 60;
/** The platform starts a process that has ended again after a short delay. */
const RESTART_DELAY_MS = 500;
/** LOST: "More than three times". */
const MAX_LOST = 3;

await runCase(import.meta.url, async (file, hasTrouble) => {
  const deployment = new Deployment(file);
  try {
    await deployment.open({ machines: MACHINES, plain: 3 });
    return await play(deployment, hasTrouble);
  } finally {
    await deployment.close();
  }
});

async function play(deployment, hasTrouble) {
  const { relays, replicas } = deployment;
  const [spoiler] = replicas;
  let isGarbling = false;
  let answerCount = 0;
  for (const replica of replicas) {
    replica.answer = (request, socket) => {
      setTimeout(() => {
        if (socket.destroyed) return;
        const isSpoiled =
          replica === spoiler && isGarbling && (answerCount += 1) % SPOILED_EACH === 0;
        if (isSpoiled)
          deployment.note(`garble   ${replica.id} spoils its answer to ${idOf(request)}`);
        // One wrong byte: the first digit of the status.
        plainAnswer(request, socket, 'price', isSpoiled ? '000 OK' : '200 OK');
        request.end();
      }, WORK_MS);
    };
  }
  let isOver = false;
  const attempts = [];
  const caller = async (relay) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    while (!isOver) {
      const attempt = await send(relay, { path: '/lookup/unit', body: 'unit', agent });
      attempts.push({ ...attempt, relay });
      if (attempt.status !== 200) await sleep(200);
    }
    agent.destroy();
  };
  const callers = relays.flatMap((relay) =>
    Array.from({ length: CALLERS_PER_MACHINE }, () => caller(relay)),
  );
  const restarts = setInterval(() => {
    for (const relay of relays)
      if (!relay.child && performance.now() - relay.endedAtMs > RESTART_DELAY_MS) relay.start();
  }, 50);
  await sleep(WARM_UP_MS);
  isGarbling = hasTrouble;
  await sleep(GARBLE_MS);
  isGarbling = false;
  await sleep(AFTER_MS);
  isOver = true;
  await Promise.all(callers);
  clearInterval(restarts);
  return judge(deployment, spoiler, attempts);
}

function idOf(request) {
  return request.headers['poppypond-request-id'];
}

/** Returns whether the rule was broken. */
function judge(deployment, spoiler, attempts) {
  const ranAt = new Map();
  for (const replica of deployment.replicas)
    for (const request of replica.ran) ranAt.set(idOf(request), replica);
  let isBroken = false;
  for (const attempt of attempts) {
    const { id, relay, status, isKept, error = '' } = attempt;
    const replica = ranAt.get(id)?.id ?? 'none';
    deployment.note(
      `request  ${id} ${relay.name} kept=${isKept ?? ''} ran=${replica} -> ${status} ${error}`,
    );
  }
  for (const relay of deployment.relays) {
    const lost = attempts.filter((attempt) => {
      const replica = ranAt.get(attempt.id);
      const isOnSound = replica !== undefined && replica !== spoiler;
      return attempt.relay === relay && attempt.status === 0 && attempt.isKept && isOnSound;
    });
    const ends = relay.unexpectedExits.length;
    deployment.note(`machine  ${relay.name} ended by itself ${ends} times, lost ${lost.length}`);
    const why = relay.lines.find((line) => line.includes('ERR_') || /Error[: ]/.test(line));
    if (ends > 0 && why) deployment.note(`machine  ${relay.name} ${why.trim()}`);
    isBroken ||= lost.length > MAX_LOST;
  }
  return isBroken;
}
