/**
 * Tests of the configuration document: it is accepted or refused as a whole, and of concurrent changes by operators
 * one succeeds.
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

const example = JSON.parse(
  readFileSync(
    new URL("../../../examples/atlas.json", import.meta.url),
    "utf8",
  ),
);

function editExample(edit: (document: typeof example) => void): unknown {
  const copy = structuredClone(example);
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
  describe("validateDocument", () => {
    it("accepts the example document", () => {
      expect(problemsOf(example)).to.deep.equal([]);
    });

    it("reports each problem with its path", () => {
      const cases: [string, (document: typeof example) => void][] = [
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
        expect(problemsOf(editExample(edit)).join("\n")).to.contain(path)
      );
    });

    it("rejects any other JSON without throwing", () => {
      fc.assert(
        fc.property(fc.jsonValue(), (value) => validateDocument(value).isErr()),
        { seed: 31, numRuns: 1_000 },
      );
    });
  });

  describe("applyDocument", () => {
    const document = validateDocument(example)._unsafeUnwrap();
    const baseChange = {
      document,
      author: "a",
      note: "",
      attempt: "1",
      nowMs: 1,
    };

    it("lets exactly one of several concurrent changes succeed, and increases the version each time", () => {
      const property = fc.property(
        fc.array(fc.nat(5), { maxLength: 40 }),
        (lags) => {
          let record: ConfigurationRecord | undefined;
          lags.forEach((lag) => {
            const version = record?.current.version ?? 0;
            const next = applyDocument(record, {
              ...baseChange,
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

    it("reports in a conflict who changed the document and what changed", () => {
      const first = applyDocument(undefined, {
        ...baseChange,
        expectedVersion: 0,
      })
        ._unsafeUnwrap();
      const other = validateDocument(
        editExample((copy) => copy.services[0].queue = { length: 9 }),
      )._unsafeUnwrap();
      const second = applyDocument(first, {
        ...baseChange,
        document: other,
        author: "b",
        expectedVersion: 1,
      })._unsafeUnwrap();
      const conflict = applyDocument(second, {
        ...baseChange,
        expectedVersion: 1,
      })
        ._unsafeUnwrapErr();
      expect(conflict.code).to.equal("conflict");
      expect(conflict.message).to.contain("by b").and.contain(
        "services.quote-desk.queue.length",
      );
    });

    it("refuses a change of the number of partitions, which would give keys a second owner", () => {
      const first = applyDocument(undefined, {
        ...baseChange,
        expectedVersion: 0,
      })
        ._unsafeUnwrap();
      const other = editExample((copy) =>
        copy.services[0].partitions = 512
      ) as ConfigurationDocument;
      const refused = applyDocument(first, {
        ...baseChange,
        document: other,
        expectedVersion: 1,
      });
      expect(refused._unsafeUnwrapErr().message).to.contain(
        "services.quote-desk.partitions",
      );
    });
  });

  describe("compareDocuments", () => {
    it("reports an inserted service as one addition", () => {
      const after = editExample((copy) =>
        copy.services.unshift({ ...copy.services[0], name: "new" })
      );
      expect(compareDocuments(example, after).map(({ path }) => path)).to.deep
        .equal(["services.new"]);
    });
  });
});
