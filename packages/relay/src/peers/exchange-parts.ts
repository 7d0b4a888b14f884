import type { Clock } from '@poppypond/core';
import type { Peer, PeerList } from './peer-list.js';
import type { PeerMessage } from './peer-messages.js';
import type { SenderFields } from './sender-fields.js';

/** What every exchange between hosts needs. */
export interface ExchangeParts {
  readonly clock: Clock;
  readonly peers: PeerList;
  /** Sends one message to each of `peers`; any of them may be lost. */
  readonly send: (peers: readonly Peer[], message: PeerMessage) => void;
  /** Names this host in messages. */
  readonly senderFields: () => SenderFields;
}
