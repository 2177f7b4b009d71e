/**
 * Tests of the sources, the error messages and the descriptions of settings.
 *
 * @module
 */
import { expect } from "chai";
import { z } from "zod";
import { describeSettings, readSettings } from "./settings.ts";

const schema = z.strictObject({
  data_port: z.coerce.number({ error: "expected a port" }).int().max(65_535)
    .default(7080).describe("Port for callers."),
  host: z.string({ error: "expected a name" }).min(1).describe("Name."),
});

function read(
  args: string[],
  environment: Record<string, string | undefined> = {},
) {
  return readSettings(schema, { arguments: args, environment });
}

describe("settings", () => {
  describe("sources", () => {
    it("take precedence in the order flag, environment variable, default", () => {
      const environment = { BAMBOOLINK_HOST: "b", BAMBOOLINK_DATA_PORT: "9" };
      expect(read(["--host=a"], environment)._unsafeUnwrap()).to.deep.equal({
        host: "a",
        data_port: 9,
      });
      expect(read(["--host", "a"])._unsafeUnwrap().data_port).to.equal(7080);
    });
  });

  describe("errors", () => {
    it("name every invalid setting, the expected value and the actual one", () => {
      const { problems } = read(["--data-port", "x"])._unsafeUnwrapErr();
      expect(problems).to.deep.equal([
        'setting --data-port (or BAMBOOLINK_DATA_PORT): expected a port; it is "x"',
        "setting --host (or BAMBOOLINK_HOST): expected a name; it is not set",
      ]);
    });

    it("name an unknown flag and the known ones", () => {
      const [problem] = read(["--hots", "a"])._unsafeUnwrapErr().problems;
      expect(problem).to.contain("--hots").and.contain("--data-port, --host");
    });
  });

  describe("description", () => {
    it("lists flag, variable, default and meaning", () => {
      expect(describeSettings(schema)[0]).to.deep.equal({
        flag: "--data-port",
        variable: "BAMBOOLINK_DATA_PORT",
        meaning: "Port for callers.",
        defaultValue: "7080",
      });
    });
  });
});
