import type { Clock } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Member, PeerMesh } from '@poppypond/peer';
import { decisionSchema } from '@poppypond/state';
import type { DecisionLog } from '@poppypond/state';
import { z } from 'zod';

const REPLICATION_MESSAGE = 'decision-copies';
const replicationSchema = z.object({ decisions: z.array(decisionSchema) });

/** Time between copies; a crash of host and store together loses at most this much. */
const REPLICATION_PERIOD_MS = 200;

/** The linked peer that gets copies: in another availability zone if there is one. */
function chooseReplicaHost(mesh: PeerMesh): Member | undefined {
  const { self } = mesh.settings;
  const ordered = rendezvousOrder(self.host, mesh.linked(), (member) => member.host);
  return ordered.find((member) => member.zone !== self.zone) ?? ordered[0];
}

/** Copies new decisions to a peer until they are in the object store. */
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
