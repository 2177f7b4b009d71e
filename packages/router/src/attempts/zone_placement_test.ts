/**
 * Tests of placing requests in the zone of the daemon.
 *
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { expect } from "chai";
import { type MemberReport, MemberView } from "@bamboolink/membership";
import { monotonicMs } from "../clock.ts";
import { createMemberReport } from "../testing/sample_member_report.ts";
import { SAMPLE_REQUEST } from "../testing/sample_request.ts";
import { BackendLoadTracker } from "./backend_load_tracker.ts";
import type { RoutedRequest } from "./routed_request.ts";
import { ZonePlacement } from "./zone_placement.ts";

const SERVICE = "rooms";
const ROUTE = "r-rooms";
const SERVICE_MS = 100;
const OBJECTIVE_MS = 800;

function createReport(address: string, availabilityZone: string): MemberReport {
  return createMemberReport(address, {
    availabilityZone,
    service: SERVICE,
    serviceMs: SERVICE_MS,
  });
}

/** Two servers in the zone of the daemon, one of which runs beside it, and two in another zone. */
function createPlacement(
  load: { waitMs: number; utilization: number },
  crossZoneMsPerKilobyte = 2,
) {
  const view = MemberView.create(createReport("own", "a"));
  const nowMs = monotonicMs();
  view.merge([
    createReport("near", "a"),
    createReport("far", "b"),
    createReport("farther", "b"),
  ], nowMs);
  const loadTracker = BackendLoadTracker.create();
  const report = () =>
    [view.ownReport, ...view.alive(nowMs)].forEach((
      { address, availabilityZone },
    ) =>
      loadTracker.recordRouteLoad(address, {
        route: ROUTE,
        load: {
          failureShare: 0,
          serviceMs: SERVICE_MS,
          ...(availabilityZone === "a"
            ? load
            : { waitMs: 0, utilization: 0.2 }),
        },
        nowMs: monotonicMs(),
        measuredAtMs: monotonicMs(),
      })
    );
  report();
  let state = 1;
  const random = () => {
    state = (state * 16_807) % 2_147_483_647;
    return state / 2_147_483_647;
  };
  const placement = ZonePlacement.create({
    view,
    loadTracker,
    crossZoneMsPerKilobyte: () => crossZoneMsPerKilobyte,
    random,
  });
  return { placement, view, report };
}

/** Places 100 requests; returns how many leave the zone. */
function countLeaving(
  { placement, view, report }: ReturnType<typeof createPlacement>,
  body = Buffer.alloc(2_000),
): number {
  const request: RoutedRequest = {
    ...SAMPLE_REQUEST,
    service: SERVICE,
    route: ROUTE,
    key: undefined,
    body,
    objectiveAtMs: monotonicMs() + OBJECTIVE_MS,
    deadlineAtMs: monotonicMs() + 2 * OBJECTIVE_MS,
  };
  const eligible = view.readyReports(SERVICE, monotonicMs());
  const targets = Array.from({ length: 100 }, () => {
    // Expected waits grow with the age of the reports, and a busy machine may take long.
    report();
    const target = placement.choose(request, eligible, () => true)!;
    placement.recordPlaced(request, target);
    return target;
  });
  return targets.filter(({ availabilityZone }) => availabilityZone === "b")
    .length;
}

describe("ZonePlacement", () => {
  it("places requests in the zone while a server there is in time", () => {
    const placed = createPlacement({ waitMs: 100, utilization: 0.8 });
    expect(countLeaving(placed)).to.equal(0);
  });

  // Guards against a zone that delays its requests past their objective while servers of other zones are idle.
  it("places them in another zone when the own one is full", () => {
    const placed = createPlacement({ waitMs: 900, utilization: 0.8 });
    expect(countLeaving(placed)).to.equal(100);
  });

  it("keeps requests with a large body for longer", () => {
    const load = { waitMs: 350, utilization: 0.8 };
    expect(countLeaving(createPlacement(load))).to.equal(100);
    expect(countLeaving(createPlacement(load), Buffer.alloc(60_000))).to
      .equal(0);
  });

  // Guards against a zone whose queues must grow before it sends out what its servers can't do.
  it("sends out the share of the work that the servers of the zone can't do", async () => {
    const placed = createPlacement({ waitMs: 200, utilization: 2 });
    countLeaving(placed);
    // The shares are computed four times a second, from what was placed before.
    await sleep(300);
    expect(countLeaving(placed)).to.be.within(30, 60);
  });

  it("compares the servers of all zones where bytes between them cost nothing", () => {
    const placed = createPlacement({ waitMs: 200, utilization: 0.8 }, 0);
    expect(countLeaving(placed)).to.be.above(50);
  });

  it("returns nothing where no server is usable", () => {
    const { placement, view } = createPlacement({ waitMs: 0, utilization: 0 });
    const eligible = view.readyReports(SERVICE, monotonicMs());
    expect(placement.choose(SAMPLE_REQUEST, eligible, () => false)).to.equal(
      undefined,
    );
  });
});
