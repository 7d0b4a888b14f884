import type { Clock } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Member, PeerMesh } from '@poppypond/peer';
import { decisionSchema } from '@poppypond/state';
import type { DecisionLog } from '@poppypond/state';
import { z } from 'zod';

const COPIES = 'decision-copies';
const copiesSchema = z.object({ decisions: z.array(decisionSchema) });

/** Time between copies; a crash of host and store together loses at most this much. */
const COPY_PERIOD_MS = 200;

/** The linked peer that gets copies: in another availability zone if there is one. */
function chooseCopyHolder(mesh: PeerMesh): Member | undefined {
  const { self } = mesh.settings;
  const ordered = rendezvousOrder(self.host, mesh.linked(), (member) => member.host);
  return ordered.find((member) => member.zone !== self.zone) ?? ordered[0];
}

/** Copies new decisions to a peer until they are in the object store. */
export function startDecisionCopies(mesh: PeerMesh, decisions: DecisionLog, clock: Clock): void {
  mesh.on(COPIES, copiesSchema, (from, body) => {
    decisions.storePeerDecisions(from.host, body.decisions);
  });
  clock.every(COPY_PERIOD_MS, () => {
    const fresh = decisions.takeUnreplicated();
    const holder = fresh.length > 0 ? chooseCopyHolder(mesh) : undefined;
    if (holder) mesh.send(holder.host, COPIES, { decisions: fresh });
  });
}
