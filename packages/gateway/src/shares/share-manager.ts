import { delay, formatOwner, parseOwner, randomId } from '@poppypond/core';
import type { Clock, Milliseconds, Owner } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Member, PeerMessages } from '@poppypond/peer';
import { Budgets, DemandRate, shareToRequest, shareToTransfer } from '@poppypond/policy';
import type { AppliedBudget, ShareDemand } from '@poppypond/policy';
import type { TableStore } from '@poppypond/state';
import type { Log } from '@poppypond/telemetry';
import {
  SHARE_REQUEST_MESSAGE,
  SHARE_GRANT_MESSAGE,
  SHARE_RECEIVED_MESSAGE,
  shareRequestSchema,
  shareGrantSchema,
  shareReceivedSchema,
} from './share-messages.js';
import type { ShareGrant } from './share-messages.js';
import { ShareTable } from './share-table.js';

/** Time limits of `ShareManager`. */
export interface ShareTimes {
  /** Absence after which a holder's share is reclaimed. */
  readonly reclaimAfterMs: Milliseconds;
}

interface HeldShare {
  readonly applied: AppliedBudget;
  readonly demand: DemandRate;
  share: number;
  /** Peers are not asked before this time, as they last had too little to transfer. */
  noRequestsUntilMs: Milliseconds;
}

interface PendingGrant {
  readonly host: string;
  readonly grant: ShareGrant;
}

const DEMAND_HALF_LIFE_MS = 2000;
const REQUEST_ROUNDS = 3;
const GRANT_WAIT_MS = 40;
const REQUEST_COOLDOWN_MS = 300;
const RESEND_MS = 500;
const RECLAIM_PERIOD_MS = 5000;
/**
 * Reclaim delay for an incarnation that another one has replaced: long enough for its transfers to
 * be recorded.
 */
const REPLACED_RECLAIM_AFTER_MS = 10_000;
const RECORD_PERIOD_MS = 2000;
const MAX_RECEIVED_GRANT_IDS = 10_000;
const MS_PER_SECOND = 1000;

/**
 * This host's shares of token budgets. The shares of all hosts never sum to more than 1: a host
 * subtracts a share that it transfers before the receiver adds it, so that a lost message loses
 * capacity and never breaks the limit.
 */
export class ShareManager {
  readonly budgets: Budgets;
  readonly #table: ShareTable;
  readonly #self: string;
  readonly #heldShares = new Map<string, HeldShare>();
  readonly #pendingGrants = new Map<string, PendingGrant>();
  readonly #receivedGrantIds = new Set<string>();
  readonly #pendingAcquisitions = new Map<string, Promise<void>>();
  readonly #pendingRequests = new Map<string, Promise<void>>();
  /** Received shares that the table has not recorded yet, by budget and by giver. */
  readonly #unrecordedTransfers = new Map<string, Map<string, number>>();
  readonly #absentSinceMs = new Map<string, Milliseconds>();

  constructor(
    readonly mesh: PeerMessages,
    table: TableStore,
    readonly clock: Clock,
    owner: Owner,
    readonly log: Log,
    readonly times: ShareTimes,
  ) {
    this.budgets = new Budgets((id) => this.#heldShares.get(id)?.share ?? 0);
    this.#table = new ShareTable(table, clock, owner);
    this.#self = formatOwner(owner);
    mesh.on(SHARE_REQUEST_MESSAGE, shareRequestSchema, (from, ask) => {
      this.#onShareRequest(from, ask);
    });
    mesh.on(SHARE_GRANT_MESSAGE, shareGrantSchema, (from, grant) => {
      this.#onGrant(from, grant);
    });
    mesh.on(SHARE_RECEIVED_MESSAGE, shareReceivedSchema, (_from, { id }) => {
      this.#pendingGrants.delete(id);
    });
    clock.every(RESEND_MS, () => {
      for (const { host, grant } of this.#pendingGrants.values())
        mesh.send(host, SHARE_GRANT_MESSAGE, grant);
    });
    clock.every(RECORD_PERIOD_MS, () => void this.#recordTransfers());
    clock.every(RECLAIM_PERIOD_MS, () => void this.#reclaim());
  }

  /** This host's share of a budget, from 0 to 1. */
  shareOf(budgetId: string): number {
    return this.#heldShares.get(budgetId)?.share ?? 0;
  }

  /**
   * Records demand for these units, and requests shares of a budget from peers if this host has too
   * few units of it.
   */
  async prepare(budgets: readonly AppliedBudget[], units: number): Promise<void> {
    for (const applied of budgets) {
      const held = await this.#getOrCreateEntry(applied);
      const now = this.clock.monotonicMs();
      held.demand.add(units, now);
      const isInsufficient = this.budgets.available(applied, now) < units;
      if (isInsufficient && units <= applied.budget.burstUnits)
        await this.#requestShares(held, units);
    }
  }

  /** Returns the entry of a budget. Its first use acquires the share that no host holds. */
  async #getOrCreateEntry(applied: AppliedBudget): Promise<HeldShare> {
    const { id } = applied;
    let held = this.#heldShares.get(id);
    if (!held) {
      const demand = new DemandRate(DEMAND_HALF_LIFE_MS, this.clock.monotonicMs());
      held = { applied, demand, share: 0, noRequestsUntilMs: 0 };
      this.#heldShares.set(id, held);
      const acquisition = this.#acquireFree(held).finally(() =>
        this.#pendingAcquisitions.delete(id),
      );
      this.#pendingAcquisitions.set(id, acquisition);
    } else if (held.applied.budget !== applied.budget) {
      held = { ...held, applied };
      this.#heldShares.set(id, held);
    }
    await this.#pendingAcquisitions.get(id);
    return this.#heldShares.get(id) ?? held;
  }

  async #acquireFree(held: HeldShare): Promise<void> {
    const { id, budget } = held.applied;
    const acquired = await this.#table.acquireFree(id, budget.burstUnits);
    if (acquired) this.#addShare(id, acquired.share, acquired.units);
  }

  #addShare(budgetId: string, share: number, units: number): void {
    const held = this.#heldShares.get(budgetId);
    if (!held) return;
    held.share = Math.min(1, held.share + share);
    this.budgets.adjustUnits(held.applied, units, this.clock.monotonicMs());
  }

  #demandOf(held: HeldShare): ShareDemand {
    const rate = held.demand.unitsPerSecond(this.clock.monotonicMs());
    return { share: held.share, demand: rate / held.applied.budget.unitsPerSecond };
  }

  #requestShares(held: HeldShare, units: number): Promise<void> {
    const { id } = held.applied;
    let pendingRequest = this.#pendingRequests.get(id);
    if (!pendingRequest) {
      pendingRequest = this.#requestFromPeers(held, units).finally(() =>
        this.#pendingRequests.delete(id),
      );
      this.#pendingRequests.set(id, pendingRequest);
    }
    return pendingRequest;
  }

  /** Requests shares from peers, for a few rounds as long as each round brings some. */
  async #requestFromPeers(held: HeldShare, units: number): Promise<void> {
    const { applied } = held;
    if (this.clock.monotonicMs() < held.noRequestsUntilMs) return;
    for (let round = 0; round < REQUEST_ROUNDS; round += 1) {
      const before = held.share;
      const ownDemand = this.#demandOf(held);
      const wanted = shareToRequest(ownDemand, units, applied.budget.burstUnits);
      if (wanted <= 0) return;
      this.mesh.broadcast(SHARE_REQUEST_MESSAGE, { budgetId: applied.id, wanted, ...ownDemand });
      await delay(this.clock, GRANT_WAIT_MS);
      const isEnough = this.budgets.available(applied, this.clock.monotonicMs()) >= units;
      if (isEnough) return;
      if (held.share === before) break;
    }
    held.noRequestsUntilMs = this.clock.monotonicMs() + REQUEST_COOLDOWN_MS;
  }

  #onShareRequest(from: Member, ask: { budgetId: string; wanted: number } & ShareDemand): void {
    const held = this.#heldShares.get(ask.budgetId);
    if (!held || held.share <= 0) return;
    const granted = shareToTransfer(this.#demandOf(held), ask, ask.wanted);
    if (granted <= 0) return;
    const now = this.clock.monotonicMs();
    const available = Math.max(0, this.budgets.available(held.applied, now));
    const units = (available * granted) / held.share;
    this.budgets.adjustUnits(held.applied, -units, now);
    held.share -= granted;
    this.budgets.onShareChanged(held.applied, now);
    const grant = {
      id: randomId(),
      budgetId: ask.budgetId,
      giver: this.#self,
      share: granted,
      units,
    };
    this.#pendingGrants.set(grant.id, { host: from.host, grant });
    this.mesh.send(from.host, SHARE_GRANT_MESSAGE, grant);
  }

  #onGrant(from: Member, grant: ShareGrant): void {
    this.mesh.send(from.host, SHARE_RECEIVED_MESSAGE, { id: grant.id });
    if (this.#receivedGrantIds.has(grant.id) || !this.#heldShares.has(grant.budgetId)) return;
    this.#receivedGrantIds.add(grant.id);
    if (this.#receivedGrantIds.size > MAX_RECEIVED_GRANT_IDS) this.#receivedGrantIds.clear();
    this.#addShare(grant.budgetId, grant.share, grant.units);
    this.#addUnrecordedTransfer(grant);
  }

  #addUnrecordedTransfer({ budgetId, giver, share }: ShareGrant): void {
    const transfers = this.#unrecordedTransfers.get(budgetId) ?? new Map<string, number>();
    transfers.set(giver, (transfers.get(giver) ?? 0) + share);
    this.#unrecordedTransfers.set(budgetId, transfers);
  }

  /** Records the shares transferred to this host, with one write for each budget. */
  async #recordTransfers(): Promise<void> {
    for (const [budgetId, transfers] of this.#unrecordedTransfers) {
      this.#unrecordedTransfers.delete(budgetId);
      const voidShare = await this.#table.recordTransfers(budgetId, transfers);
      if (voidShare === undefined) this.#restoreUnrecordedTransfers(budgetId, transfers);
      else if (voidShare > 0) this.#removeShare(budgetId, voidShare);
    }
  }

  #restoreUnrecordedTransfers(budgetId: string, transfers: ReadonlyMap<string, number>): void {
    for (const [giver, share] of transfers) {
      this.#addUnrecordedTransfer({ id: '', budgetId, giver, share, units: 0 });
    }
  }

  #removeShare(budgetId: string, share: number): void {
    const held = this.#heldShares.get(budgetId);
    if (!held) return;
    held.share = Math.max(0, held.share - share);
    this.budgets.onShareChanged(held.applied, this.clock.monotonicMs());
  }

  /** Frees the shares of holders that are certainly gone. One host does so for each budget. */
  async #reclaim(): Promise<void> {
    const members = this.mesh.members().map(({ member }) => member);
    const hosts = [...members.map((member) => member.host), this.mesh.settings.self.host];
    for (const [id, held] of this.#heldShares) {
      const [responsibleHost] = rendezvousOrder(id, hosts, (host) => host);
      if (responsibleHost !== this.mesh.settings.self.host) continue;
      const row = await this.#table.read(id);
      if (!row) continue;
      for (const holder of Object.keys(row.holders)) {
        if (!this.#isGone(holder, members)) continue;
        if (await this.#table.reclaim(id, holder)) this.log.info('share_reclaimed', { id, holder });
      }
      await this.#acquireFree(held);
    }
  }

  /**
   * Whether a holder is certainly gone: for long enough its host has run another incarnation or has
   * not been a known member.
   */
  #isGone(holder: string, members: readonly Member[]): boolean {
    const owner = parseOwner(holder);
    if (!owner || holder === this.#self) return false;
    const member = members.find(({ host }) => host === owner.host);
    if (member?.incarnation === owner.incarnation) {
      this.#absentSinceMs.delete(holder);
      return false;
    }
    const now = this.clock.monotonicMs();
    const since = this.#absentSinceMs.get(holder) ?? now;
    this.#absentSinceMs.set(holder, since);
    return now - since > (member ? REPLACED_RECLAIM_AFTER_MS : this.times.reclaimAfterMs);
  }

  /** Returns all shares to the table, for a planned stop. */
  async returnAll(): Promise<void> {
    await this.#recordTransfers();
    const now = this.clock.monotonicMs();
    for (const [id, held] of this.#heldShares) {
      const units = Math.max(0, this.budgets.available(held.applied, now));
      if (await this.#table.returnShare(id, held.share, units)) held.share = 0;
    }
  }

  /** This host's share of each budget, for `/status`. */
  list(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.#heldShares].map(([id, held]) => [id, held.share]));
  }
}

/** Time after which a host without table and peers has certainly stopped spending. */
export function reclaimDelayMs(notReadyAfterMs: Milliseconds): Milliseconds {
  return notReadyAfterMs + RECLAIM_MARGIN_MS;
}

const RECLAIM_MARGIN_MS = 15 * MS_PER_SECOND;
