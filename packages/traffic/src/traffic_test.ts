/**
 * Tests of finding routes and of splitting their requests.
 *
 * @module
 */
import type { TrafficRoute } from "@bamboolink/types";
import { expect } from "chai";
import fc from "fast-check";
import { PrefixRouter } from "./prefix_router.ts";
import { TrafficSplit } from "./traffic_split.ts";

function route(changes: Partial<TrafficRoute>): TrafficRoute {
  return {
    name: "route",
    host: "shop.example",
    prefix: "/",
    idempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 300,
    maximumAttempts: 2,
    rank: 1,
    targets: [{ service: "one", weight: 1 }],
    ...changes,
  };
}

describe("PrefixRouter", () => {
  describe("for any routes and paths", () => {
    it("finds the same route as trying all prefixes, longest first", () => {
      const prefix = fc.array(fc.constantFrom("a", "b"), { maxLength: 3 })
        .map((parts) => ["", ...parts, ""].join("/"));
      const property = fc.property(
        fc.uniqueArray(prefix, { maxLength: 6 }),
        fc.array(fc.constantFrom("a", "b", "c"), { maxLength: 5 }),
        (prefixes, parts) => {
          const routes = prefixes.map((each) => route({ prefix: each }));
          const path = "/" + parts.join("/") + "?x=/a/b/";
          const naive = [...prefixes]
            .sort((left, right) => right.length - left.length)
            .find((each) => path.split("?")[0]!.startsWith(each));
          const found = PrefixRouter.create(routes).find(
            "Shop.example:80",
            path,
          );
          expect(found?.prefix).to.equal(naive);
        },
      );
      fc.assert(property, { seed: 9, numRuns: 500 });
    });
  });

  describe("for another spelling of a host", () => {
    // Guards against 404 for a proper request because of how its host is written.
    ["shop.example", "SHOP.Example", "shop.example.", "shop.example.:80"]
      .forEach((host) => {
        it(`finds the route of ${host}`, () => {
          const router = PrefixRouter.create([route({})]);
          expect(router.find(host, "/")?.name).to.equal("route");
        });
      });
  });

  describe("for another spelling of a path", () => {
    const router = PrefixRouter.create([
      route({ name: "plain", prefix: "/plain/" }),
      route({ name: "orders", prefix: "/orders/" }),
    ]);

    // Guards against 404 for a path that RFC 3986, section 6.2.2, makes equivalent to one that has a route.
    [
      "/%70lain/x",
      "/pl%61in/x?q=/../",
      "/./plain/x",
      "/a/../plain/x",
      "/../plain/x",
      "/a/%2e%2E/plain/x",
      "/plain/a/../../plain/.",
    ].forEach((path) => {
      it(`finds the route of ${path}`, () => {
        expect(router.find("shop.example", path)?.name).to.equal("plain");
      });
    });

    // Guards against sending a request to a service that its path does not name.
    ["/plain%2Fx", "/plain", "//plain/x", "/plain%252f/x", "/a/plain/x", "*"]
      .forEach((path) => {
        it(`finds none for ${path}`, () => {
          expect(router.find("shop.example", path)).to.equal(undefined);
        });
      });

    it("keeps the route that the path has as it was sent", () => {
      expect(router.find("shop.example", "/plain/../orders/x")?.name).to
        .equal("plain");
    });
  });

  describe("for a host without routes", () => {
    it("finds nothing", () => {
      expect(PrefixRouter.create([route({})]).find("other.example", "/")).to
        .equal(undefined);
    });
  });
});

describe("TrafficSplit", () => {
  describe("over any number of requests", () => {
    it("keeps each service within one request of its share", () => {
      const property = fc.property(
        fc.array(fc.integer({ min: 1, max: 9 }), {
          minLength: 2,
          maxLength: 4,
        }),
        fc.integer({ min: 1, max: 200 }),
        (weights, count) => {
          const targets = weights.map((weight, index) => ({
            service: `service-${index}`,
            weight,
          }));
          const split = TrafficSplit.create(() => 0);
          const chosen = Array.from(
            { length: count },
            () => split.choose(route({ targets })),
          );
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          targets.forEach(({ service, weight }) => {
            const chosenCount = chosen.filter((each) =>
              each === service
            ).length;
            expect(Math.abs(chosenCount - count * weight / total)).to.be.at
              .most(
                weights.length,
              );
          });
        },
      );
      fc.assert(property, { seed: 2, numRuns: 200 });
    });
  });

  describe("for a service of weight 0", () => {
    it("sends it nothing", () => {
      const targets = [
        { service: "none", weight: 0 },
        { service: "all", weight: 5 },
      ];
      const split = TrafficSplit.create(() => 0.5);
      const chosen = Array.from(
        { length: 20 },
        () => split.choose(route({ targets })),
      );
      expect(new Set(chosen)).to.deep.equal(new Set(["all"]));
    });
  });
});
