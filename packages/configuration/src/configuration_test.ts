/**
 * Tests of the configuration document: whole or refused, and one winner among operators.
 *
 * @module
 */
import { readFileSync } from "node:fs";
import type {
  ConfigurationDocument,
  ConfigurationRecord,
} from "@bamboolink/types";
import { expect } from "chai";
import fc from "fast-check";
import { applyDocument, HISTORY_LIMIT } from "./apply.ts";
import { compareDocuments } from "./compare.ts";
import { validateDocument } from "./validate.ts";

const atlas = JSON.parse(
  readFileSync(
    new URL("../../../examples/atlas.json", import.meta.url),
    "utf8",
  ),
);

function change(edit: (document: typeof atlas) => void): unknown {
  const copy = structuredClone(atlas);
  edit(copy);
  return copy;
}

function problemsOf(document: unknown): string[] {
  return validateDocument(document).match(
    () => [],
    (problems) => problems.map(({ path, message }) => `${path}: ${message}`),
  );
}

describe("configuration", () => {
  describe("validation", () => {
    it("accepts the example", () => {
      expect(problemsOf(atlas)).to.deep.equal([]);
    });

    it("names the path of each problem and what was expected", () => {
      const cases: [string, (document: typeof atlas) => void][] = [
        [
          "services[0].name",
          (document) => document.services[0].name = "Quote Desk",
        ],
        [
          "services[1].name",
          (document) => document.services[1].name = "quote-desk",
        ],
        [
          "services[0].availability_zones[0]",
          (document) => document.services[0].availability_zones[0] = "nowhere",
        ],
        [
          "services[0].operations[0].key.parameter",
          (document) => document.services[0].operations[0].key.parameter = "x",
        ],
        ["services[1].operations[1].path", (document) => {
          document.services[1].operations[1].method = "GET";
          document.services[1].operations[1].path = "/quotes/:other";
        }],
        ["services[0]", (document) => document.services[0].unknown = 1],
        [
          "availability_zones[1].name",
          (document) => document.availability_zones[1].name = "casablanca-1",
        ],
      ];
      cases.forEach(([path, edit]) =>
        expect(problemsOf(change(edit)).join("\n")).to.contain(path)
      );
    });

    it("takes any JSON without throwing, and accepts none of it", () => {
      fc.assert(
        fc.property(fc.jsonValue(), (value) => validateDocument(value).isErr()),
        { seed: 31, numRuns: 1_000 },
      );
    });
  });

  describe("apply", () => {
    const document = validateDocument(atlas)._unsafeUnwrap();
    const given = { document, author: "a", note: "", attempt: "1", nowMs: 1 };

    it("lets exactly one of racing operators win, and versions only grow", () => {
      const property = fc.property(
        fc.array(fc.nat(5), { maxLength: 40 }),
        (lags) => {
          let record: ConfigurationRecord | undefined;
          lags.forEach((lag) => {
            const version = record?.current.version ?? 0;
            const next = applyDocument(record, {
              ...given,
              expectedVersion: Math.max(0, version - lag),
            });
            expect(next.isOk()).to.equal(lag === 0 || version === 0);
            record = next.unwrapOr(record as ConfigurationRecord);
            expect(record.current.version).to.equal(
              next.isOk() ? version + 1 : version,
            );
            expect(record.history.length).to.be.at.most(HISTORY_LIMIT);
          });
        },
      );
      fc.assert(property, { seed: 37 });
    });

    it("tells the loser what changed since", () => {
      const first = applyDocument(undefined, { ...given, expectedVersion: 0 })
        ._unsafeUnwrap();
      const other = validateDocument(
        change((copy) => copy.services[0].queue = { length: 9 }),
      )._unsafeUnwrap();
      const second = applyDocument(first, {
        ...given,
        document: other,
        author: "b",
        expectedVersion: 1,
      })._unsafeUnwrap();
      const lost = applyDocument(second, { ...given, expectedVersion: 1 })
        ._unsafeUnwrapErr();
      expect(lost.code).to.equal("conflict");
      expect(lost.message).to.contain("by b").and.contain(
        "services.quote-desk.queue.length",
      );
    });

    it("refuses another number of partitions, which would give keys a second owner", () => {
      const first = applyDocument(undefined, { ...given, expectedVersion: 0 })
        ._unsafeUnwrap();
      const other = change((copy) =>
        copy.services[0].partitions = 512
      ) as ConfigurationDocument;
      const refused = applyDocument(first, {
        ...given,
        document: other,
        expectedVersion: 1,
      });
      expect(refused._unsafeUnwrapErr().message).to.contain(
        "services.quote-desk.partitions",
      );
    });
  });

  describe("comparison", () => {
    it("shows an inserted service as one addition", () => {
      const after = change((copy) =>
        copy.services.unshift({ ...copy.services[0], name: "new" })
      );
      expect(compareDocuments(atlas, after).map(({ path }) => path)).to.deep
        .equal(["services.new"]);
    });
  });
});
