/**
 * Handles rows of the operators' document that can't be decoded, so that each costs only its own route or service.
 *
 * @module
 */
import type {
  TrafficConfiguration,
  TrafficRoute,
  TrafficService,
  UnreadableRoute,
  UnreadableService,
} from "@bamboolink/types";
import { PrefixRouter } from "./prefix_router.ts";

/**
 * Completes unreadable rows with fields of the version before, where that is safe; all others remain unreadable.
 *
 * A route needs the fields that determine where, and how often, its requests run: the earlier ones could run a request
 * at a service that it was moved away from, or twice. A service must not lose its keys, because any backend server of a
 * service without keys may run any request.
 */
export function restoreUnreadableRows(
  configuration: TrafficConfiguration,
  earlier: Pick<TrafficConfiguration, "routes" | "services"> | undefined,
): TrafficConfiguration {
  const routes = earlier?.routes ?? [];
  const services = earlier?.services ?? [];
  const restoredServices = restoreServices(configuration, services);
  const restoredNames = new Set(restoredServices.map(({ name }) => name));
  return {
    ...configuration,
    routes: [
      ...configuration.routes,
      ...configuration.unreadableRoutes.flatMap((row) =>
        restoreRoute(row, routes) ?? []
      ),
    ],
    services: [...configuration.services, ...restoredServices],
    unreadableRoutes: configuration.unreadableRoutes.filter((row) =>
      restoreRoute(row, routes) === undefined
    ),
    unreadableServices: configuration.unreadableServices.filter(({ name }) =>
      name === undefined || !restoredNames.has(name)
    ),
  };
}

function restoreRoute(
  row: UnreadableRoute,
  earlier: readonly TrafficRoute[],
): TrafficRoute | undefined {
  const { name, host, prefix, execution } = row;
  const known = earlier.find((route) =>
    route.name === name && route.host === host && route.prefix === prefix
  );
  return known === undefined || execution === undefined
    ? undefined
    : { ...known, ...execution };
}

/** Any earlier service that is missing may be the one whose name can't be read. */
function restoreServices(
  { services, unreadableServices }: TrafficConfiguration,
  earlier: readonly TrafficService[],
): TrafficService[] {
  const names = new Set(services.map(({ name }) => name));
  const nameless = unreadableServices.find(({ name }) => name === undefined);
  return earlier
    .filter(({ name }) => !names.has(name))
    .flatMap((service) => {
      const row = unreadableServices.find(({ name }) =>
        name === service.name
      ) ?? nameless;
      return row === undefined ? [] : restoreService(row, service) ?? [];
    });
}

function restoreService(
  { name, keyed }: UnreadableService,
  earlier: TrafficService,
): TrafficService | undefined {
  if (name !== undefined && keyed !== undefined) {
    return { ...earlier, keyed };
  }
  return earlier.keyed ? earlier : undefined;
}

/** The unreadable rows of one configuration version, and the requests that they may cover. */
export class UnreadableRows {
  private readonly router: PrefixRouter<{ host: string; prefix: string }>;
  private readonly isRouteTableComplete: boolean;
  private readonly serviceNames: ReadonlySet<string>;
  private readonly unreadableNames: ReadonlySet<string | undefined>;

  private constructor(configuration: TrafficConfiguration) {
    const { unreadableRoutes, unreadableServices, services } = configuration;
    const located = unreadableRoutes.flatMap(({ host, prefix }) =>
      host === undefined || prefix === undefined ? [] : [{ host, prefix }]
    );
    this.router = PrefixRouter.create(located);
    this.isRouteTableComplete = located.length === unreadableRoutes.length;
    this.serviceNames = new Set(services.map(({ name }) => name));
    this.unreadableNames = new Set(unreadableServices.map(({ name }) => name));
  }

  /** Indexes the unreadable rows that remain after {@link restoreUnreadableRows}. */
  static create(configuration: TrafficConfiguration): UnreadableRows {
    return new UnreadableRows(configuration);
  }

  /**
   * Whether an unreadable route covers a request, or may cover it and no other does.
   *
   * @param host the `Host` header of the request.
   * @param target its request target.
   * @param route the readable route that covers it, if there is one.
   */
  coversRequest(
    { host, target, route }: {
      host: string;
      target: string;
      route: TrafficRoute | undefined;
    },
  ): boolean {
    const unreadable = this.router.find(host, target);
    if (unreadable !== undefined) {
      return unreadable.prefix.length >= (route?.prefix.length ?? 0);
    }
    return route === undefined && !this.isRouteTableComplete;
  }

  /** Whether a service is missing because its row can't be read, so that it is not known whether it has keys. */
  hidesService(service: string): boolean {
    return !this.serviceNames.has(service) &&
      (this.unreadableNames.has(service) ||
        this.unreadableNames.has(undefined));
  }
}
