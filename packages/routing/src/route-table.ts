import type {
  Route,
  RoutingConfiguration,
  ServiceDescription,
  WorkspaceKeys,
} from './configuration.js';

function longestFirst(left: Route, right: Route): number {
  return right.pathPrefix.length - left.pathPrefix.length;
}

/**
 * Chooses a target by weight; `random` is a uniform number in [0, 1). Returns undefined if the
 * route has no targets.
 */
export function chooseService(route: Route, random: number): string | undefined {
  const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
  let left = random * total;
  for (const target of route.targets) {
    if (left < target.weight) return target.service;
    left -= target.weight;
  }
  return route.targets.at(-1)?.service;
}

/** Larger than the priority of any route. */
const ROUTE_PRIORITIES = 100;

/**
 * Returns the priority of a request: by that of its workspace first, and among equal ones by that of
 * its route. A workspace without a priority has that of the route.
 */
export function requestPriority(
  { priority }: Route,
  workspace: Pick<WorkspaceKeys, 'priority'> | undefined,
): number {
  return (workspace?.priority ?? priority) * ROUTE_PRIORITIES + priority;
}

/** Services whose routes have different priorities. */
function servicesWithPriorities({ routes }: RoutingConfiguration): ReadonlySet<string> {
  const priorities = new Map<string, Set<number>>();
  for (const { priority, targets } of routes) {
    for (const { service } of targets) {
      priorities.set(service, (priorities.get(service) ?? new Set()).add(priority));
    }
  }
  return new Set([...priorities].flatMap(([service, all]) => (all.size > 1 ? [service] : [])));
}

/** Indexes the routes, services and keys of one configuration version. */
export class RouteTable {
  readonly version: number;
  readonly #routesByHost = new Map<string, readonly Route[]>();
  readonly #services: ReadonlyMap<string, ServiceDescription>;
  readonly #workspacesByKey = new Map<string, WorkspaceKeys>();
  readonly #engineServices: readonly string[];
  readonly #servicesWithPriorities: ReadonlySet<string>;

  constructor(readonly configuration: RoutingConfiguration) {
    this.version = configuration.version;
    this.#services = new Map(configuration.services.map((service) => [service.name, service]));
    this.#engineServices = configuration.services.flatMap(({ name, engine }) =>
      engine ? [name] : [],
    );
    this.#servicesWithPriorities = servicesWithPriorities(configuration);
    for (const workspace of configuration.workspaces) {
      for (const key of workspace.keys) this.#workspacesByKey.set(key, workspace);
    }
    const grouped = new Map<string, Route[]>();
    for (const route of configuration.routes) {
      const host = route.hostName.toLowerCase();
      const routes = grouped.get(host);
      if (routes) routes.push(route);
      else grouped.set(host, [route]);
    }
    for (const [host, routes] of grouped) this.#routesByHost.set(host, routes.sort(longestFirst));
  }

  /**
   * Returns the route with the longest prefix of `path`, whose query is ignored; undefined if none
   * matches.
   */
  match(hostName: string, path: string): Route | undefined {
    const routes = this.#routesByHost.get(hostName.toLowerCase());
    const plainPath = path.split('?', 1)[0] ?? path;
    return routes?.find((route) => plainPath.startsWith(route.pathPrefix));
  }

  /** Names of the services whose servers are model engines. */
  get engineServices(): readonly string[] {
    return this.#engineServices;
  }

  /** Whether the routes of a service have different priorities. */
  hasDifferentPriorities(service: string): boolean {
    return this.#servicesWithPriorities.has(service);
  }

  service(name: string): ServiceDescription | undefined {
    return this.#services.get(name);
  }

  workspaceOf(key: string): WorkspaceKeys | undefined {
    return this.#workspacesByKey.get(key);
  }
}
