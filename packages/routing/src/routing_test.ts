/**
 * Tests of request matching, and of the lookup of owners compared with a naive lookup.
 *
 * @module
 */
import type { ConfigurationDocument, TableShard } from "@bamboolink/types";
import { expect } from "chai";
import fc from "fast-check";
import { OwnershipTable } from "./ownership_table.ts";
import { partitionOf } from "./partition.ts";
import { RequestMatcher } from "./request_matcher.ts";

const operation = {
  idempotent: true,
  priority: "interactive" as const,
  timeout_ms: 1_000,
};
const document: ConfigurationDocument = {
  schema: "bamboolink/1",
  availability_zones: [{ name: "z", region: "r" }],
  services: [{
    name: "quote-desk",
    availability_zones: ["z"],
    partitions: 16,
    queue: { length: 1, retry_after_ms: 1 },
    objective: { good_share: 0.99, within_ms: 100 },
    weights: { imbalance: 1, unavailable_time: 1 },
    operations: [
      {
        ...operation,
        name: "by-path",
        method: "GET",
        path: "/quotes/:part",
        key: { from: "path", parameter: "part" },
      },
      {
        ...operation,
        name: "by-query",
        method: "GET",
        path: "/lots",
        key: { from: "query", parameter: "part" },
      },
      {
        ...operation,
        name: "by-header",
        method: "POST",
        path: "/orders",
        key: { from: "header", header: "X-Part" },
      },
    ],
  }],
};

describe("routing", () => {
  describe("RequestMatcher", () => {
    const matcher = RequestMatcher.create(document);
    const match = (
      method: string,
      url: string,
      headers: Record<string, string | string[]> = {},
    ) => matcher.match({ method, url, headers });

    it("reads the key from the path, the query or a header", () => {
      expect(match("GET", "/quotes/BC%20547?x=1")._unsafeUnwrap().key).to.equal(
        "BC 547",
      );
      expect(match("GET", "/lots?part=BC547")._unsafeUnwrap().key).to.equal(
        "BC547",
      );
      expect(
        match("POST", "/orders", { "x-part": "BC547" })._unsafeUnwrap().key,
      ).to.equal("BC547");
    });

    it("reports what is missing", () => {
      expect(match("GET", "/nowhere")._unsafeUnwrapErr().code).to.equal(
        "not_found",
      );
      expect(match("GET", "/lots")._unsafeUnwrapErr().message).to.contain(
        "query parameter 'part'",
      );
      expect(match("GET", "/lots?part=a&part=b")._unsafeUnwrapErr().code).to
        .equal("invalid");
      expect(
        match("POST", "/orders", { "x-part": ["a", "b"] })._unsafeUnwrapErr()
          .code,
      ).to.equal("invalid");
      expect(match("GET", `/quotes/${"x".repeat(1_025)}`).isErr()).to.equal(
        true,
      );
    });

    it("accepts any method and URL without throwing", () => {
      const property = fc.property(fc.string(), fc.string(), (method, url) => {
        match(method, `/${url}`);
      });
      fc.assert(property, { seed: 23, numRuns: 2_000 });
    });
  });

  describe("partitionOf", () => {
    it("returns the same partition on every host and in every version", () => {
      expect(["BC547", "room-12", "é"].map((key) => partitionOf(key, 65_536)))
        .to.deep.equal([2_431, 53_153, 10_535]);
    });

    it("distributes keys evenly", () => {
      const counts = new Array<number>(64).fill(0);
      Array.from(
        { length: 64_000 },
        (_, index) => partitionOf(`part-${index}`, 64),
      )
        .forEach((partition) =>
          counts[partition] = (counts[partition] ?? 0) + 1
        );
      expect(Math.max(...counts)).to.be.below(1_150);
    });
  });

  describe("OwnershipTable", () => {
    it("finds the same owner as a naive lookup", () => {
      const shard = fc.record({
        owners: fc.array(fc.integer({ min: -1, max: 2 }), {
          minLength: 16,
          maxLength: 16,
        }),
        overridden: fc.uniqueArray(fc.constantFrom("a", "b", "c"), {
          maxLength: 2,
        }),
      }).map(({ owners, overridden }): TableShard => ({
        service: "quote-desk",
        first: 0,
        version: 9,
        changes: [],
        sessions: ["s0", "s1", "s2"],
        owners,
        tokens: owners.map((_, index) => index + 1),
        overrides: overridden.map((key) => ({ key, owner: "hot", token: 5 })),
      }));
      const property = fc.property(
        shard,
        fc.constantFrom("a", "b", "c", "d", "e"),
        (shardUnderTest, key) => {
          const found = OwnershipTable.create([shardUnderTest]).find(key, {
            name: "quote-desk",
            partitions: 16,
          });
          const partition = partitionOf(key, 16);
          const naive =
            shardUnderTest.overrides.some((override) => override.key === key)
              ? "hot"
              : shardUnderTest.sessions[shardUnderTest.owners[partition] ?? -1];
          expect(found?.session).to.equal(naive);
        },
      );
      fc.assert(property, { seed: 29, numRuns: 500 });
    });
  });
});
