import { formatOwner } from '@poppypond/core';
import { sendJson } from '@poppypond/web';
import type { Router } from '@poppypond/web';
import type { GatewayContext } from '../context.js';

/**
 * Registers the path by which the sweep asks whether this host still uses a reservation.
 * A host of another incarnation answers with its own, which shows that the asked one is gone.
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
