/**
 * Tests of the largest request heads that the server for callers reads before a configuration is in force.
 *
 * @module
 */
import { request, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { Logger } from "@bamboolink/logger";
import { Metrics } from "@bamboolink/metrics";
import { expect } from "chai";
import type { ConfigurationChecker } from "../configuration/configuration_checker.ts";
import type { ConfigurationManager } from "../configuration/configuration_manager.ts";
import { Ingress } from "./ingress.ts";
import { LoopLag } from "../loop_lag.ts";
import {
  CallerProtocol,
  type CallerRequest,
  type RouterOutcome,
  type RouterResponse,
} from "../ports/caller_protocol.ts";
import type { RequestRunner } from "../attempts/request_runner.ts";

/** Larger than the limit of 64 KiB that the server once had. */
const LONG_HEAD_BYTES = 100_000;
const EXCESSIVE_HEAD_BYTES = 2_000_000;
const TICK_MS = 50;

/** Responds with 503 to what was not run. */
class TestProtocol extends CallerProtocol {
  readonly reservedHeaders = new Set<string>();

  read(): CallerRequest {
    return { id: "a", deadlineMs: 1_000, key: undefined };
  }

  write({ kind }: RouterOutcome): RouterResponse {
    return { status: kind === "not_run" ? 503 : 400, headers: {}, body: "" };
  }

  isReadinessCheck(): boolean {
    return false;
  }
}

describe("Ingress and the size of request heads", () => {
  let server: Server;

  beforeEach(async () => {
    const ingress = Ingress.create({
      protocol: new TestProtocol(),
      logger: Logger.createRateLimited("test", { level: "error" }),
      metrics: Metrics.create(),
      configuration: {
        inForce: undefined,
        version: -1,
      } as unknown as ConfigurationManager,
      configurationChecker: {} as ConfigurationChecker,
      runner: {} as RequestRunner,
      lag: LoopLag.create(TICK_MS, () => 0),
      random: () => 0.5,
      callerService: () => "service",
    });
    server = ingress.server;
    await new Promise<void>((resolve) =>
      server.listen(0, "127.0.0.1", resolve)
    );
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  const sendHead = (bytes: number) =>
    new Promise<number | undefined>((resolve, reject) => {
      const { port } = server.address() as AddressInfo;
      request({
        host: "127.0.0.1",
        port,
        headers: { "x-padding": "p".repeat(bytes) },
      }, (response) => {
        response.resume();
        resolve(response.statusCode);
      }).on("error", reject).end();
    });

  describe("without a configuration", () => {
    it("refuses a request as not run", async () => {
      expect(await sendHead(0)).to.equal(503);
    });

    // Guards against 431 for heads that the configuration allows and the HTTP server does not.
    it("reads a head that a configuration may allow", async () => {
      expect(await sendHead(LONG_HEAD_BYTES)).to.equal(503);
    });

    it("rejects a head beyond any limit", async () => {
      const status = await sendHead(EXCESSIVE_HEAD_BYTES).catch(() => 431);
      expect(status).to.equal(431);
    });
  });
});
