/**
 * Tests of configurations some of whose rows can't be decoded.
 *
 * @module
 */
import type {
  TrafficConfiguration,
  TrafficRoute,
  TrafficService,
} from "@bamboolink/types";
import { expect } from "chai";
import { restoreUnreadableRows, UnreadableRows } from "./unreadable_rows.ts";

const HOST = "shop.example";
const reason = "timeout_ms: expected number";

function createRoute(changes: Partial<TrafficRoute> = {}): TrafficRoute {
  return {
    name: "orders",
    host: HOST,
    prefix: "/orders/",
    idempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 300,
    maximumAttempts: 2,
    rank: 1,
    targets: [{ service: "plain", weight: 1 }],
    ...changes,
  };
}

function createService(
  name: string,
  keyed: boolean,
  maximumConnections = 50,
): TrafficService {
  return { name, keyed, maximumConnections, healthPath: "/healthz" };
}

function createConfiguration(
  changes: Partial<TrafficConfiguration> = {},
): TrafficConfiguration {
  return {
    version: 2,
    routes: [],
    services: [],
    unreadableRoutes: [],
    unreadableServices: [],
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
    ...changes,
  };
}

describe("unreadable rows", () => {
  describe("of the route table", () => {
    const execution = {
      idempotent: false,
      maximumAttempts: 1,
      targets: [{ service: "other", weight: 1 }],
    };
    const { name, host, prefix } = createRoute();
    const restore = (
      row: TrafficConfiguration["unreadableRoutes"][number],
      earlier = createRoute(),
    ) =>
      restoreUnreadableRows(
        createConfiguration({ unreadableRoutes: [row] }),
        createConfiguration({ routes: [earlier] }),
      );

    it("are completed with the times and the priority of the version before", () => {
      const restored = restore({ name, host, prefix, execution, reason });
      expect(restored.routes).to.deep.equal([{
        ...createRoute(),
        ...execution,
      }]);
      expect(restored.unreadableRoutes).to.deep.equal([]);
    });

    // Guards against a request that runs at a service from which its route was moved away.
    it("stay unreadable if it is not known where and how often their requests may run", () => {
      const restored = restore({ name, host, prefix, reason });
      expect(restored.routes).to.deep.equal([]);
      expect(restored.unreadableRoutes).to.have.length(1);
    });

    it("stay unreadable without the same route in the version before", () => {
      const row = { name, host, prefix, execution, reason };
      [{ name: "x" }, { host: "x.example" }, { prefix: "/x/" }].forEach(
        (change) =>
          expect(restore(row, createRoute(change)).unreadableRoutes).to
            .deep.equal([row]),
      );
      expect(
        restoreUnreadableRows(
          createConfiguration({ unreadableRoutes: [row] }),
          undefined,
        ).unreadableRoutes,
      ).to.deep.equal([row]);
    });
  });

  describe("of the service table", () => {
    const restore = (
      row: Omit<
        TrafficConfiguration["unreadableServices"][number],
        "reason"
      >,
      earlier: TrafficService[],
      services: TrafficService[] = [],
    ) =>
      restoreUnreadableRows(
        createConfiguration({
          services,
          unreadableServices: [{ ...row, reason }],
        }),
        createConfiguration({ services: earlier }),
      );

    it("are completed if it is known whether the service has keys", () => {
      [true, false].forEach((keyed) => {
        const restored = restore({ name: "a", keyed }, [
          createService("a", !keyed, 7),
        ]);
        expect(restored.services).to.deep.equal([createService("a", keyed, 7)]);
        expect(restored.unreadableServices).to.deep.equal([]);
      });
    });

    // Guards against requests of a service with keys that run at any of its backend servers.
    it("keep a service with keys, and hide one that may have become one", () => {
      const kept = restore({ name: "a" }, [createService("a", true)]);
      expect(kept.services).to.deep.equal([createService("a", true)]);
      const hidden = restore({ name: "a" }, [createService("a", false)]);
      expect(hidden.services).to.deep.equal([]);
      expect(UnreadableRows.create(hidden).hidesService("a")).to.equal(true);
    });

    it("keep all missing services with keys if the row has no name", () => {
      const restored = restore({}, [
        createService("a", true),
        createService("b", false),
        createService("c", true, 7),
      ], [createService("c", true)]);
      expect(restored.services).to.deep.equal([
        createService("c", true),
        createService("a", true),
      ]);
      const rows = UnreadableRows.create(restored);
      expect(["a", "b", "c"].map((name) => rows.hidesService(name)))
        .to.deep.equal([false, true, false]);
    });
  });

  describe("that remain", () => {
    const covers = (
      rows: { host?: string; prefix?: string }[],
      target: string,
      route?: TrafficRoute,
    ) =>
      UnreadableRows.create(createConfiguration({
        unreadableRoutes: rows.map((row) => ({ ...row, reason })),
      })).coversRequest({ host: `${HOST}:80`, target, route });

    it("cover the requests below their prefix, unless a longer one does", () => {
      const rows = [{ host: HOST, prefix: "/orders/" }];
      const root = createRoute({ prefix: "/" });
      const longer = createRoute({ prefix: "/orders/new/" });
      expect(covers(rows, "/orders/1")).to.equal(true);
      expect(covers(rows, "/orders/1", root)).to.equal(true);
      expect(covers(rows, "/orders/new/1", longer)).to.equal(false);
      expect(covers(rows, "/else/1")).to.equal(false);
      expect(covers(rows, "/else/1", root)).to.equal(false);
    });

    // Guards against 404 for a route whose row can't be read.
    it("may cover all requests without a route if host or prefix is unknown", () => {
      [{}, { host: HOST }, { prefix: "/orders/" }].forEach((row) => {
        expect(covers([row], "/else/1")).to.equal(true);
        expect(covers([row], "/orders/1", createRoute())).to.equal(false);
      });
    });

    it("hide no service of a readable service table", () => {
      const rows = UnreadableRows.create(createConfiguration());
      expect(rows.hidesService("a")).to.equal(false);
    });
  });
});
