import { formatOwner } from '@poppypond/core';
import { sendJson } from '@poppypond/web';
import type { Router } from '@poppypond/web';
import type { GatewayContext } from '../context.js';

/**
 * Registers `/claims`, where the controller's memory sweep asks whether this host still uses a
 * reservation. The response names this host's incarnation: a different one than that of the
 * reservation shows that the owner is gone.
 */
export function addClaimRoutes(router: Router, context: GatewayContext): void {
  router.on('GET', '/claims', ({ response, query }) => {
    const engineUrl = query.get('engine') ?? '';
    const id = query.get('reservation') ?? '';
    sendJson(response, 200, {
      owner: formatOwner(context.owner),
      isClaimed: context.reservations.isClaimed({ engineUrl, id }),
    });
  });
}
