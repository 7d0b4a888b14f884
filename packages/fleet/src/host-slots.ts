import { createHash } from 'node:crypto';

/** The hosts that share bounds, as one of them knows them. */
export interface KnownHosts {
  /** Names of the known hosts, the own one included; empty before the member list is known. */
  readonly hosts: readonly string[];
  /** Number of hosts that exist, which may be larger. */
  readonly hostCount: number;
}

function hash(name: string): number {
  return createHash('sha256').update(name).digest().readUInt32LE();
}

/** The finalizer of MurmurHash3, which distributes the bits of an integer evenly. */
function mix(value: number): number {
  let mixed = value;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Divides a number of slots of each server among the hosts, without messages: all hosts that know
 * the same hosts find the same division, in which no slot has two hosts. If there are fewer slots
 * than hosts, each server gives its slots to other hosts (rendezvous hashing), so that each host
 * has slots of some servers. A host that joins or leaves changes few of the others' slots.
 */
export class HostSlots {
  #hosts: readonly string[] = [];
  #hashes: readonly number[] = [];
  #knownShare = 0;
  /** Number of hosts that precede this one, by server id. */
  readonly #rankById = new Map<string, number>();
  readonly #ownHash: number;

  constructor(readonly ownHost: string) {
    this.#ownHash = hash(ownHost);
  }

  /** Sets the hosts among which slots are divided. */
  setHosts({ hosts, hostCount }: KnownHosts): void {
    this.#knownShare = hosts.length === 0 ? 0 : Math.min(1, hosts.length / hostCount);
    const isSame =
      hosts.length === this.#hosts.length &&
      hosts.every((host, index) => host === this.#hosts[index]);
    if (isSame) return;
    this.#hosts = [...hosts];
    this.#hashes = hosts.filter((host) => host !== this.ownHost).map(hash);
    this.#rankById.clear();
  }

  /** Number of `total` slots of a server that belong to this host. */
  slotsOf(serverId: string, total: number): number {
    // Hosts that this one does not know have slots too.
    const known = Math.floor(total * this.#knownShare);
    const hostCount = this.#hosts.length;
    if (hostCount === 0 || known === 0) return 0;
    const remainder = known % hostCount;
    const extra = remainder > 0 && this.#rankOf(serverId) < remainder ? 1 : 0;
    return Math.floor(known / hostCount) + extra;
  }

  #rankOf(serverId: string): number {
    const known = this.#rankById.get(serverId);
    if (known !== undefined) return known;
    // Servers that are gone are forgotten when the hosts change, and at this number.
    if (this.#rankById.size >= MAX_SERVERS) this.#rankById.clear();
    const serverHash = hash(serverId);
    const own = mix(this.#ownHash ^ serverHash);
    const rank = this.#hashes.filter((other) => mix(other ^ serverHash) > own).length;
    this.#rankById.set(serverId, rank);
    return rank;
  }
}

/** More servers than any deployment has. */
const MAX_SERVERS = 2048;
