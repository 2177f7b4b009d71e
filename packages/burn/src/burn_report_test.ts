/**
 * Tests of the computation and the output of the burn report.
 *
 * @module
 */
import { Service } from "@bamboolink/types";
import { expect } from "chai";
import { formatBurnTable, renderBurnPage } from "./burn_output.ts";
import {
  type BurnSample,
  computeBurn,
  type CounterSample,
} from "./burn_report.ts";

const service = Service.parse({
  name: "quotes",
  availability_zones: ["z"],
  operations: [{
    name: "quote",
    method: "GET",
    path: "/quotes/:part",
    key: { from: "path", parameter: "part" },
    idempotent: true,
    timeout_ms: 1_000,
  }],
  objective: { good_share: 0.9, within_ms: 100 },
});
const labels = { service: "quotes", operation: "quote", hop: "entrance" };

function counters(
  values: { done: number; good: number; refused: number; invalid?: number },
): CounterSample[] {
  const total = (outcome: string, value: number) => ({
    name: "bamboolink_requests_total",
    labels: { ...labels, outcome },
    value,
  });
  return [
    total("done", values.done),
    total("not_run", values.refused),
    total("invalid", values.invalid ?? 0),
    { name: "bamboolink_requests_good_total", labels, value: values.good },
    {
      name: "bamboolink_requests_total",
      labels: { ...labels, hop: "owner", outcome: "done" },
      value: 999,
    },
  ];
}

function reportService(samples: readonly BurnSample[]) {
  const burnReport = computeBurn(samples, {
    services: [service],
    shortMs: 1_000,
    longMs: 10_000,
  });
  return burnReport.services[0] as NonNullable<typeof burnReport.services[0]>;
}

describe("burn report", () => {
  const healthyCounters = counters({ done: 100, good: 100, refused: 0 });
  const degradedCounters = counters({
    done: 190,
    good: 180,
    refused: 10,
    invalid: 50,
  });
  const samples: BurnSample[] = [
    {
      recordedAtMs: 0,
      hosts: { a: counters({ done: 0, good: 0, refused: 0 }) },
    },
    { recordedAtMs: 5_000, hosts: { a: healthyCounters } },
    { recordedAtMs: 9_500, hosts: { a: degradedCounters } },
  ];

  describe("windows", () => {
    it("counts late and refused requests as bad, and forwarded requests once", () => {
      const { long, short, budgetLeft } = reportService(samples);
      expect(long).to.include({ requests: 200, bad: 20 });
      expect(long.burn).to.be.closeTo(1, 1e-9);
      expect(short.burn).to.be.closeTo(2, 1e-9);
      expect(budgetLeft).to.be.closeTo(0, 1e-9);
    });

    it("lists the causes of bad requests by outcome, operation and host", () => {
      expect(reportService(samples).causes).to.deep.equal([
        { by: "outcome", name: "late", bad: 10 },
        { by: "outcome", name: "not_run", bad: 10 },
        { by: "operation", name: "quote", bad: 20 },
        { by: "host", name: "a", bad: 20 },
      ]);
    });
  });

  describe("daemon restart", () => {
    // Guards against a negative number of requests when a daemon's counters restart at 0 between two samples and the
    // counters of its two processes are subtracted.
    it("counts the requests of the new process from 0", () => {
      const restarted = [{ recordedAtMs: 0, hosts: { a: degradedCounters } }, {
        recordedAtMs: 1,
        hosts: { a: healthyCounters },
      }];
      expect(reportService(restarted).long).to.include({
        requests: 100,
        bad: 0,
      });
    });
  });

  describe("output", () => {
    it("is a text table and a self-contained HTML page", () => {
      const burnReport = { services: [reportService(samples)] };
      expect(formatBurnTable(burnReport).join("\n")).to.contain("quotes").and
        .contain(
          "spent by outcome late: 10",
        );
      const page = renderBurnPage(burnReport);
      expect(page).to.contain("<svg").and.not.match(/(src|href)=/);
    });
  });
});
