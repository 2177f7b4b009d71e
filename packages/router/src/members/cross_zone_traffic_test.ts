/**
 * Tests of counting the bytes between availability zones.
 *
 * @module
 */
import { expect } from "chai";
import { type MemberReport, MemberView } from "@bamboolink/membership";
import { Metrics } from "@bamboolink/metrics";
import { createMemberReport } from "../testing/sample_member_report.ts";
import { CrossZoneTraffic } from "./cross_zone_traffic.ts";

function createReport(address: string, availabilityZone: string): MemberReport {
  return createMemberReport(address, { availabilityZone });
}

function createTraffic(): CrossZoneTraffic {
  const view = MemberView.create(createReport("own", "a"));
  view.merge([createReport("near", "a"), createReport("far", "b")], 0);
  return CrossZoneTraffic.create(view);
}

describe("CrossZoneTraffic", () => {
  it("counts the bytes to other zones by kind", () => {
    const traffic = createTraffic();
    traffic.record("far", "gossip", 900);
    traffic.record("far", "gossip", 100);
    traffic.record("far", "request", 60_000);
    expect([...traffic.bytesByKind]).to.deep.equal([
      ["gossip", 1_000],
      ["request", 60_000],
    ]);
  });

  it("ignores bytes within the zone and to daemons whose zone is not known", () => {
    const traffic = createTraffic();
    ["own", "near", "stranger"].forEach((address) =>
      traffic.record(address, "gossip", 900)
    );
    expect(traffic.bytesByKind.size).to.equal(0);
  });

  // Guards against a counter that grows with each scrape, because its values are added again.
  it("is rendered with the same totals at each scrape", async () => {
    const traffic = createTraffic();
    const metrics = Metrics.create();
    metrics.counterFrom(
      "bamboolink_cross_zone_bytes",
      "kind",
      () => traffic.bytesByKind,
    );
    traffic.record("far", "gossip", 900);
    await metrics.render();
    expect(await metrics.render()).to.include(
      'bamboolink_cross_zone_bytes{kind="gossip"} 900',
    );
  });
});
