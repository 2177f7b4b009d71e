/**
 * Tests of the burn report.
 *
 * @module
 */
import { Service } from "@bamboolink/types";
import { expect } from "chai";
import { formatBurn, writeBurnPage } from "./burn_output.ts";
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

function report(samples: readonly BurnSample[]) {
  const all = computeBurn(samples, {
    services: [service],
    shortMs: 1_000,
    longMs: 10_000,
  });
  return all.services[0] as NonNullable<typeof all.services[0]>;
}

describe("burn", () => {
  const calm = counters({ done: 100, good: 100, refused: 0 });
  const bad = counters({ done: 190, good: 180, refused: 10, invalid: 50 });
  const samples: BurnSample[] = [
    { atMs: 0, hosts: { a: counters({ done: 0, good: 0, refused: 0 }) } },
    { atMs: 5_000, hosts: { a: calm } },
    { atMs: 9_500, hosts: { a: bad } },
  ];

  describe("over windows", () => {
    it("counts late and refused requests against the objective, and forwarded ones once", () => {
      const { long, short, budgetLeft } = report(samples);
      expect(long).to.include({ requests: 200, bad: 20 });
      expect(long.burn).to.be.closeTo(1, 1e-9);
      expect(short.burn).to.be.closeTo(2, 1e-9);
      expect(budgetLeft).to.be.closeTo(0, 1e-9);
    });

    it("says what spent the budget", () => {
      expect(report(samples).causes).to.deep.equal([
        { by: "outcome", name: "late", bad: 10 },
        { by: "outcome", name: "not_run", bad: 10 },
        { by: "operation", name: "quote", bad: 20 },
        { by: "host", name: "a", bad: 20 },
      ]);
    });
  });

  describe("when a daemon restarts", () => {
    // Symptom: the report shows a negative number of requests.
    // Sequence: a daemon ends and its counters begin at 0 again between two readings.
    // Cause: taking the difference of counters of two lives.
    it("counts the new life from its beginning", () => {
      const restarted = [{ atMs: 0, hosts: { a: bad } }, {
        atMs: 1,
        hosts: { a: calm },
      }];
      expect(report(restarted).long).to.include({ requests: 100, bad: 0 });
    });
  });

  describe("output", () => {
    it("is a table and a page that stands alone", () => {
      const all = { services: [report(samples)] };
      expect(formatBurn(all).join("\n")).to.contain("quotes").and.contain(
        "spent by outcome late: 10",
      );
      const page = writeBurnPage(all);
      expect(page).to.contain("<svg").and.not.match(/(src|href)=/);
    });
  });
});
