import type { ColdNotices } from '../notices/cold-notices.js';
import type { ServerLimits } from '@poppypond/fleet';
import type { ServerNotices } from '../notices/server-notices.js';
import type { SpeedNotices } from '../notices/speed-notices.js';
import type { PartQuarantine } from '../quarantine/part-quarantine.js';
import type { SharedQuarantine } from '../quarantine/shared-quarantine.js';
import type { Evacuations } from '../store/evacuations.js';
import { ColdExchange } from './cold-exchange.js';
import { EvacuationExchange } from './evacuation-exchange.js';
import type { ExchangeParts } from './exchange-parts.js';
import { LeavingExchange } from './leaving-exchange.js';
import { LimitExchange } from './limit-exchange.js';
import type { PeerClocks } from './peer-clocks.js';
import { PartTerminationExchange } from './part-termination-exchange.js';
import { QuarantineExchange } from './quarantine-exchange.js';
import { SpeedExchange } from './speed-exchange.js';

/** What a host knows about servers and requests and exchanges with its peers. */
export interface NoticeSources {
  readonly coldNotices: ColdNotices;
  readonly evacuations: Evacuations;
  readonly limits: ServerLimits;
  readonly notices: ServerNotices;
  readonly quarantine: SharedQuarantine;
  readonly partQuarantine: PartQuarantine;
  readonly speedNotices: SpeedNotices;
}

/** The exchange of each kind of notice with the peers. */
export interface NoticeExchanges {
  readonly coldExchange: ColdExchange;
  readonly evacuationExchange: EvacuationExchange;
  readonly leavingExchange: LeavingExchange;
  readonly limitExchange: LimitExchange;
  readonly partTerminationExchange: PartTerminationExchange;
  readonly quarantineExchange: QuarantineExchange;
  readonly speedExchange: SpeedExchange;
}

/** Creates the exchanges of a host's notices. */
export function createNoticeExchanges(
  parts: ExchangeParts,
  sources: NoticeSources,
  clocks: PeerClocks,
): NoticeExchanges {
  const { coldNotices, evacuations, limits, notices, speedNotices } = sources;
  const { partQuarantine, quarantine } = sources;
  return {
    coldExchange: new ColdExchange({ ...parts, coldNotices, clocks }),
    evacuationExchange: new EvacuationExchange({ ...parts, evacuations, clocks }),
    leavingExchange: new LeavingExchange({ ...parts, notices }),
    limitExchange: new LimitExchange({ ...parts, notices, limits }),
    partTerminationExchange: new PartTerminationExchange({ ...parts, partQuarantine }),
    quarantineExchange: new QuarantineExchange({ ...parts, quarantine }),
    speedExchange: new SpeedExchange({ ...parts, speedNotices, clocks }),
  };
}
