/**
 * Finds the route of a request by its host and the longest prefix of its path.
 *
 * @module
 */
import type { TrafficRoute } from "@bamboolink/types";
import { normalizePath } from "./normalize_path.ts";

/** The requests that a route covers. */
type RouteScope = Pick<TrafficRoute, "host" | "prefix">;

/** Index of the routes of one configuration version. */
export class PrefixRouter<T extends RouteScope = TrafficRoute> {
  private constructor(
    private readonly hosts: ReadonlyMap<
      string,
      ReadonlyMap<string, T>
    >,
  ) {}

  /** Indexes the routes by host and prefix. */
  static create<T extends RouteScope>(routes: readonly T[]): PrefixRouter<T> {
    const hosts = new Map<string, Map<string, T>>();
    routes.forEach((route) => {
      const host = normalizeHost(route.host);
      const prefixes = hosts.get(host) ?? new Map<string, T>();
      hosts.set(host, prefixes);
      prefixes.set(route.prefix, route);
    });
    return new PrefixRouter(hosts);
  }

  /**
   * Finds the route with the longest prefix of the path.
   *
   * Prefixes end with a slash, so only the parts of the path up to each of its slashes can match. The cost grows with
   * the depth of the path, not with the number of routes.
   *
   * The path is compared as it was sent. Only where no prefix matches, it is normalized first, so no request that has a
   * route by its own spelling gets another one.
   *
   * @param host the `Host` header, with or without a port; a trailing dot is ignored.
   * @param target the request target; its query is ignored.
   * @returns `undefined` where no route matches.
   */
  find(host: string, target: string): T | undefined {
    const prefixes = this.hosts.get(normalizeHost(host));
    if (prefixes === undefined) {
      return undefined;
    }
    const query = target.indexOf("?");
    const path = query < 0 ? target : target.slice(0, query);
    const route = findLongestPrefix(prefixes, path);
    return route === undefined && path.startsWith("/")
      ? findLongestPrefix(prefixes, normalizePath(path))
      : route;
  }
}

function findLongestPrefix<T>(
  prefixes: ReadonlyMap<string, T>,
  path: string,
): T | undefined {
  let slash = path.lastIndexOf("/");
  while (slash >= 0) {
    const route = prefixes.get(path.slice(0, slash + 1));
    if (route !== undefined) {
      return route;
    }
    slash = slash === 0 ? -1 : path.lastIndexOf("/", slash - 1);
  }
  return undefined;
}

/** The host name in lower case, without a port and without the dot that ends an absolute domain name. */
function normalizeHost(host: string): string {
  return stripPort(host).replace(/\.$/, "").toLowerCase();
}

function stripPort(host: string): string {
  const colon = host.lastIndexOf(":");
  return colon < 0 || host.endsWith("]") ? host : host.slice(0, colon);
}
