import { delay, formatOwner, parseOwner, randomId } from '@poppypond/core';
import type { Clock, Milliseconds, Owner } from '@poppypond/core';
import { rendezvousOrder } from '@poppypond/hashing';
import type { Member, PeerMessages } from '@poppypond/peer';
import { Budgets, DemandRate, shareToRequest, shareToTransfer } from '@poppypond/policy';
import type { AppliedBudget, ShareDemand } from '@poppypond/policy';
import type { TableStore } from '@poppypond/state';
import type { Log } from '@poppypond/telemetry';
import {
  SHARE_ASK,
  SHARE_GRANT,
  SHARE_TAKEN,
  shareAskSchema,
  shareGrantSchema,
  shareTakenSchema,
} from './share-messages.js';
import type { ShareGrant } from './share-messages.js';
import { ShareTable } from './share-table.js';

/** Times that decide about shares. */
export interface ShareTimes {
  /** A holder that is gone for this long loses its part. */
  readonly reclaimAfterMs: Milliseconds;
}

interface Held {
  readonly applied: AppliedBudget;
  readonly demand: DemandRate;
  share: number;
  /** No peer had anything to give; not asked again before this time. */
  quietUntilMs: Milliseconds;
}

interface Outgoing {
  readonly host: string;
  readonly grant: ShareGrant;
}

const DEMAND_HALF_LIFE_MS = 2000;
const ASK_ROUNDS = 3;
const ASK_WAIT_MS = 40;
const QUIET_MS = 300;
const RESEND_MS = 500;
const RECLAIM_PERIOD_MS = 5000;
/** A run that was replaced: long enough for what it gave away to be recorded. */
const REPLACED_AFTER_MS = 10_000;
const RECORD_PERIOD_MS = 2000;
const MAX_TAKEN_IDS = 10_000;
const MS_PER_SECOND = 1000;

/**
 * This host's parts of token budgets. The parts of all hosts never sum to more than the whole:
 * a giver takes a part off its own before the taker adds it, so that a lost message loses
 * capacity and never breaks the limit.
 */
export class ShareKeeper {
  readonly budgets: Budgets;
  readonly #table: ShareTable;
  readonly #self: string;
  readonly #held = new Map<string, Held>();
  readonly #outgoing = new Map<string, Outgoing>();
  readonly #takenIds = new Set<string>();
  readonly #opening = new Map<string, Promise<void>>();
  readonly #gathering = new Map<string, Promise<void>>();
  /** Budget to giver to the part that the table doesn't know of yet. */
  readonly #unrecorded = new Map<string, Map<string, number>>();
  readonly #missingSince = new Map<string, Milliseconds>();

  constructor(
    readonly mesh: PeerMessages,
    table: TableStore,
    readonly clock: Clock,
    owner: Owner,
    readonly log: Log,
    readonly times: ShareTimes,
  ) {
    this.budgets = new Budgets((id) => this.#held.get(id)?.share ?? 0);
    this.#table = new ShareTable(table, clock, owner);
    this.#self = formatOwner(owner);
    mesh.on(SHARE_ASK, shareAskSchema, (from, ask) => {
      this.#onAsk(from, ask);
    });
    mesh.on(SHARE_GRANT, shareGrantSchema, (from, grant) => {
      this.#onGrant(from, grant);
    });
    mesh.on(SHARE_TAKEN, shareTakenSchema, (_from, { id }) => {
      this.#outgoing.delete(id);
    });
    clock.every(RESEND_MS, () => {
      for (const { host, grant } of this.#outgoing.values()) mesh.send(host, SHARE_GRANT, grant);
    });
    clock.every(RECORD_PERIOD_MS, () => void this.#recordGifts());
    clock.every(RECLAIM_PERIOD_MS, () => void this.#reclaim());
  }

  /** This host's part of a budget. */
  shareOf(budgetId: string): number {
    return this.#held.get(budgetId)?.share ?? 0;
  }

  /** Notes demand, and gets hold of enough of each budget for these units if others have it. */
  async prepare(budgets: readonly AppliedBudget[], units: number): Promise<void> {
    for (const applied of budgets) {
      const held = await this.#open(applied);
      const now = this.clock.monotonicMs();
      held.demand.add(units, now);
      const isShort = this.budgets.available(applied, now) < units;
      if (isShort && units <= applied.budget.burstUnits) await this.#gather(held, units);
    }
  }

  /** The entry of a budget; what nobody holds is taken on its first use. */
  async #open(applied: AppliedBudget): Promise<Held> {
    const { id } = applied;
    let held = this.#held.get(id);
    if (!held) {
      const demand = new DemandRate(DEMAND_HALF_LIFE_MS, this.clock.monotonicMs());
      held = { applied, demand, share: 0, quietUntilMs: 0 };
      this.#held.set(id, held);
      const opening = this.#takeFree(held).finally(() => this.#opening.delete(id));
      this.#opening.set(id, opening);
    } else if (held.applied.budget !== applied.budget) {
      held = { ...held, applied };
      this.#held.set(id, held);
    }
    await this.#opening.get(id);
    return this.#held.get(id) ?? held;
  }

  async #takeFree(held: Held): Promise<void> {
    const { id, budget } = held.applied;
    const taken = await this.#table.takeFree(id, budget.burstUnits);
    if (taken) this.#add(id, taken.share, taken.units);
  }

  #add(budgetId: string, share: number, units: number): void {
    const held = this.#held.get(budgetId);
    if (!held) return;
    held.share = Math.min(1, held.share + share);
    this.budgets.adjustUnits(held.applied, units, this.clock.monotonicMs());
  }

  #needOf(held: Held): ShareDemand {
    const rate = held.demand.unitsPerSecond(this.clock.monotonicMs());
    return { share: held.share, demand: rate / held.applied.budget.unitsPerSecond };
  }

  #gather(held: Held, units: number): Promise<void> {
    const { id } = held.applied;
    let gathering = this.#gathering.get(id);
    if (!gathering) {
      gathering = this.#askRounds(held, units).finally(() => this.#gathering.delete(id));
      this.#gathering.set(id, gathering);
    }
    return gathering;
  }

  /** Asks peers a few times, as long as they give. */
  async #askRounds(held: Held, units: number): Promise<void> {
    const { applied } = held;
    if (this.clock.monotonicMs() < held.quietUntilMs) return;
    for (let round = 0; round < ASK_ROUNDS; round += 1) {
      const before = held.share;
      const need = this.#needOf(held);
      const wanted = shareToRequest(need, units, applied.budget.burstUnits);
      if (wanted <= 0) return;
      this.mesh.broadcast(SHARE_ASK, { budgetId: applied.id, wanted, ...need });
      await delay(this.clock, ASK_WAIT_MS);
      const isEnough = this.budgets.available(applied, this.clock.monotonicMs()) >= units;
      if (isEnough) return;
      if (held.share === before) break;
    }
    held.quietUntilMs = this.clock.monotonicMs() + QUIET_MS;
  }

  #onAsk(from: Member, ask: { budgetId: string; wanted: number } & ShareDemand): void {
    const held = this.#held.get(ask.budgetId);
    if (!held || held.share <= 0) return;
    const given = shareToTransfer(this.#needOf(held), ask, ask.wanted);
    if (given <= 0) return;
    const now = this.clock.monotonicMs();
    const available = Math.max(0, this.budgets.available(held.applied, now));
    const units = (available * given) / held.share;
    this.budgets.adjustUnits(held.applied, -units, now);
    held.share -= given;
    this.budgets.onShareChanged(held.applied, now);
    const grant = {
      id: randomId(),
      budgetId: ask.budgetId,
      giver: this.#self,
      share: given,
      units,
    };
    this.#outgoing.set(grant.id, { host: from.host, grant });
    this.mesh.send(from.host, SHARE_GRANT, grant);
  }

  #onGrant(from: Member, grant: ShareGrant): void {
    this.mesh.send(from.host, SHARE_TAKEN, { id: grant.id });
    if (this.#takenIds.has(grant.id) || !this.#held.has(grant.budgetId)) return;
    this.#takenIds.add(grant.id);
    if (this.#takenIds.size > MAX_TAKEN_IDS) this.#takenIds.clear();
    this.#add(grant.budgetId, grant.share, grant.units);
    this.#noteGift(grant);
  }

  #noteGift({ budgetId, giver, share }: ShareGrant): void {
    const gifts = this.#unrecorded.get(budgetId) ?? new Map<string, number>();
    gifts.set(giver, (gifts.get(giver) ?? 0) + share);
    this.#unrecorded.set(budgetId, gifts);
  }

  /** Records what was given to this host, one write for each budget. */
  async #recordGifts(): Promise<void> {
    for (const [budgetId, gifts] of this.#unrecorded) {
      this.#unrecorded.delete(budgetId);
      const missing = await this.#table.recordTransfers(budgetId, gifts);
      if (missing === undefined) this.#keepGifts(budgetId, gifts);
      else if (missing > 0) this.#drop(budgetId, missing);
    }
  }

  #keepGifts(budgetId: string, gifts: ReadonlyMap<string, number>): void {
    for (const [giver, share] of gifts) {
      this.#noteGift({ id: '', budgetId, giver, share, units: 0 });
    }
  }

  #drop(budgetId: string, share: number): void {
    const held = this.#held.get(budgetId);
    if (!held) return;
    held.share = Math.max(0, held.share - share);
    this.budgets.onShareChanged(held.applied, this.clock.monotonicMs());
  }

  /** Frees the parts of holders that are surely gone; one host looks after each budget. */
  async #reclaim(): Promise<void> {
    const members = this.mesh.members().map(({ member }) => member);
    const hosts = [...members.map((member) => member.host), this.mesh.settings.self.host];
    for (const [id, held] of this.#held) {
      const [keeper] = rendezvousOrder(id, hosts, (host) => host);
      if (keeper !== this.mesh.settings.self.host) continue;
      const row = await this.#table.read(id);
      if (!row) continue;
      for (const holder of Object.keys(row.holders)) {
        if (!this.#isGone(holder, members)) continue;
        if (await this.#table.reclaim(id, holder)) this.log.info('share_reclaimed', { id, holder });
      }
      await this.#takeFree(held);
    }
  }

  /** Gone: its host runs another incarnation, or no peer has heard of it for long enough. */
  #isGone(holder: string, members: readonly Member[]): boolean {
    const owner = parseOwner(holder);
    if (!owner || holder === this.#self) return false;
    const member = members.find(({ host }) => host === owner.host);
    if (member?.incarnation === owner.incarnation) {
      this.#missingSince.delete(holder);
      return false;
    }
    const now = this.clock.monotonicMs();
    const since = this.#missingSince.get(holder) ?? now;
    this.#missingSince.set(holder, since);
    return now - since > (member ? REPLACED_AFTER_MS : this.times.reclaimAfterMs);
  }

  /** Gives every part back, for a planned stop. */
  async returnAll(): Promise<void> {
    await this.#recordGifts();
    const now = this.clock.monotonicMs();
    for (const [id, held] of this.#held) {
      const units = Math.max(0, this.budgets.available(held.applied, now));
      if (await this.#table.giveBack(id, held.share, units)) held.share = 0;
    }
  }

  /** The parts held, for status. */
  list(): Readonly<Record<string, number>> {
    return Object.fromEntries([...this.#held].map(([id, held]) => [id, held.share]));
  }
}

/** Time after which a host that is cut off from table and peers has surely stopped spending. */
export function reclaimTime(notReadyAfterMs: Milliseconds): Milliseconds {
  return notReadyAfterMs + RECLAIM_MARGIN_MS;
}

const RECLAIM_MARGIN_MS = 15 * MS_PER_SECOND;
