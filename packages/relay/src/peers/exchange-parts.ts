import type { Clock } from '@poppypond/core';
import type { Peer, PeerList } from './peer-list.js';
import type { PeerMessage } from './peer-messages.js';
import type { SenderFields } from './sender-fields.js';

/** Dependencies that all exchanges between hosts have in common. */
export interface ExchangeParts {
  readonly clock: Clock;
  readonly peers: PeerList;
  /** Sends one message to each of `peers`. Delivery is not guaranteed. */
  readonly send: (peers: readonly Peer[], message: PeerMessage) => void;
  /** Fields that identify this host in messages. */
  readonly senderFields: () => SenderFields;
}
