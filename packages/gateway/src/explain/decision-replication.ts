import type { Clock } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Member, PeerMesh } from '@poppypond/peer';
import { decisionSchema } from '@poppypond/state';
import type { DecisionLog } from '@poppypond/state';
import { z } from 'zod';

const REPLICATION_MESSAGE = 'decision-copies';
const replicationSchema = z.object({ decisions: z.array(decisionSchema) });

/**
 * Time between replications. If this host and the object store fail together, at most the
 * decisions of this period are lost.
 */
const REPLICATION_PERIOD_MS = 200;

/** Selects the linked peer that keeps replicas, in another availability zone if possible. */
function chooseReplicaHost(mesh: PeerMesh): Member | undefined {
  const { self } = mesh.settings;
  const ordered = rendezvousOrder(self.host, mesh.linked(), (member) => member.host);
  return ordered.find((member) => member.zone !== self.zone) ?? ordered[0];
}

/**
 * Replicates new decisions to a peer, so that they survive a crash of this host before they are in
 * the object store.
 */
export function startDecisionReplication(
  mesh: PeerMesh,
  decisions: DecisionLog,
  clock: Clock,
): void {
  mesh.on(REPLICATION_MESSAGE, replicationSchema, (from, body) => {
    decisions.storePeerDecisions(from.host, body.decisions);
  });
  clock.every(REPLICATION_PERIOD_MS, () => {
    const unreplicated = decisions.takeUnreplicated();
    const holder = unreplicated.length > 0 ? chooseReplicaHost(mesh) : undefined;
    if (holder) mesh.send(holder.host, REPLICATION_MESSAGE, { decisions: unreplicated });
  });
}
