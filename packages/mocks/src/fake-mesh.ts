import type { KnownMember, Member, PeerMessages } from '@poppypond/peer';
import type { z } from 'zod';

type Handler = (from: Member, body: unknown) => void;

/** A message in transit between two fake hosts. */
export interface InFlightMessage {
  readonly from: string;
  readonly to: string;
  deliver(): void;
}

/** Hosts in one process. A test delivers, drops or repeats their messages. */
export class FakeNetwork {
  readonly hosts = new Map<string, FakeMesh>();
  readonly inFlight: InFlightMessage[] = [];

  join(host: string, incarnation: string): FakeMesh {
    const self = {
      host,
      incarnation,
      zone: 'a',
      peerUrl: `ws://${host}`,
      callerUrl: `http://${host}`,
    };
    const mesh = new FakeMesh(self, this);
    this.hosts.set(host, mesh);
    return mesh;
  }

  /** Delivers all messages in transit, including those sent as a result. */
  deliverAll(): void {
    for (let next = this.inFlight.shift(); next; next = this.inFlight.shift()) next.deliver();
  }
}

/** The peer mesh of one fake host. */
export class FakeMesh implements PeerMessages {
  readonly #handlers = new Map<string, Handler>();
  readonly settings: { readonly self: Member };

  constructor(
    self: Member,
    readonly network: FakeNetwork,
  ) {
    this.settings = { self };
  }

  on<Schema extends z.ZodType>(
    kind: string,
    schema: Schema,
    handler: (from: Member, body: z.infer<Schema>) => void,
  ): void {
    this.#handlers.set(kind, (from, body) => {
      handler(from, schema.parse(body));
    });
  }

  receive(from: Member, kind: string, body: unknown): void {
    this.#handlers.get(kind)?.(from, body);
  }

  send(host: string, kind: string, body: unknown): boolean {
    const from = this.settings.self;
    const deliver = () => {
      this.network.hosts.get(host)?.receive(from, kind, body);
    };
    this.network.inFlight.push({ from: from.host, to: host, deliver });
    return true;
  }

  broadcast(kind: string, body: unknown, except?: string): void {
    for (const { host } of this.linked()) if (host !== except) this.send(host, kind, body);
  }

  linked(): readonly Member[] {
    return [...this.network.hosts.values()]
      .map((mesh) => mesh.settings.self)
      .filter(({ host }) => host !== this.settings.self.host);
  }

  members(): readonly KnownMember[] {
    return this.linked().map((member) => ({ member, state: 'alive', silentMs: 0 }));
  }
}
