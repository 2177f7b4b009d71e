/**
 * Tests of the decision whether a denied request breaks a promise.
 *
 * @module
 */
import { expect } from "chai";
import {
  type ConfigurationVersion,
  type Disturbance,
  findDeniedRequests,
  isDeniedWrongly,
  type JudgedRequest,
} from "./route_promises.ts";

const ADDRESS = "127.0.0.10";

function createVersion(
  version: number,
  fields: Partial<ConfigurationVersion> = {},
): ConfigurationVersion {
  return {
    version,
    prefixes: ["/plain/", "/added/"],
    maxHeaderBytes: 16_384,
    maxBodyBytes: 1_000,
    writtenAtMs: version * 10_000,
    acknowledgedAtMs: version * 10_000 + 100,
    ...fields,
  };
}

function createRequest(
  sentAtMs: number,
  fields: Partial<JudgedRequest> = {},
): JudgedRequest {
  return {
    id: "a",
    address: ADDRESS,
    path: "/added/1",
    headerBytes: 1_000,
    bodyBytes: 0,
    sentAtMs,
    completedAtMs: sentAtMs + 10,
    status: 404,
    ...fields,
  };
}

function createDisturbance(fields: Partial<Disturbance> = {}): Disturbance {
  return {
    address: "all",
    startedAtMs: 19_000,
    endedAtMs: 20_000,
    effect: "lifts",
    ...fields,
  };
}

/** The route `/added/` exists from the second version on. */
const ADDITION = [
  createVersion(1, { prefixes: ["/plain/"] }),
  createVersion(2),
];
/** The route `/added/` exists in the first version only. */
const REMOVAL = [createVersion(1), createVersion(2, { prefixes: ["/plain/"] })];

describe("isDeniedWrongly", () => {
  describe("for a route that every version has", () => {
    const history = {
      versions: ADDITION,
      disturbances: [createDisturbance({ endedAtMs: Infinity })],
    };

    it("is true even at a daemon that is disturbed", () => {
      const request = createRequest(20_500, { path: "/plain/1" });
      expect(isDeniedWrongly(request, history)).to.equal(true);
    });

    [300, 404, 413, 499].forEach((status) =>
      it(`is true for status ${status}`, () => {
        const request = createRequest(20_500, { path: "/plain/1", status });
        expect(isDeniedWrongly(request, history)).to.equal(true);
      })
    );

    [0, 200, 408, 421, 429, 500, 503].forEach((status) =>
      it(`is false for status ${status}`, () => {
        const request = createRequest(20_500, { path: "/plain/1", status });
        expect(isDeniedWrongly(request, history)).to.equal(false);
      })
    );
  });

  describe("for a route that was added", () => {
    const history = { versions: ADDITION, disturbances: [] };

    it("is false before the route is written", () => {
      expect(isDeniedWrongly(createRequest(19_000), history)).to.equal(false);
    });

    it("is false until the apply timeout after the acknowledgement", () => {
      expect(isDeniedWrongly(createRequest(22_100), history)).to.equal(false);
    });

    it("is true after it", () => {
      expect(isDeniedWrongly(createRequest(22_101), history)).to.equal(true);
    });

    it("is false for a request that was sent in time and answered later", () => {
      const request = createRequest(22_000, { completedAtMs: 23_000 });
      expect(isDeniedWrongly(request, history)).to.equal(false);
    });
  });

  describe("for a route that was removed", () => {
    const history = { versions: REMOVAL, disturbances: [] };

    it("is true until the version without it is written", () => {
      const request = createRequest(19_900);
      expect(isDeniedWrongly(request, history)).to.equal(true);
    });

    it("is false for a request that was answered after the write", () => {
      const request = createRequest(19_995);
      expect(isDeniedWrongly(request, history)).to.equal(false);
    });
  });

  describe("for a route that was removed and added again", () => {
    it("is false until the version without it can't be in force", () => {
      const versions = [
        ...REMOVAL,
        createVersion(3, { writtenAtMs: 20_500, acknowledgedAtMs: 20_600 }),
      ];
      const history = { versions, disturbances: [] };
      expect(isDeniedWrongly(createRequest(22_600), history)).to.equal(false);
      expect(isDeniedWrongly(createRequest(22_601), history)).to.equal(true);
    });
  });

  describe("while the time limit is lifted", () => {
    const judge = (sentAtMs: number, fields: Partial<Disturbance>) =>
      isDeniedWrongly(createRequest(sentAtMs), {
        versions: ADDITION,
        disturbances: [createDisturbance(fields)],
      });

    it("is false until the stability window after the disturbance", () => {
      expect(judge(25_999, { endedAtMs: 23_000 })).to.equal(false);
      expect(judge(26_000, { endedAtMs: 23_000 })).to.equal(true);
    });

    it("is true at other daemons than the one that is disturbed", () => {
      expect(judge(24_000, { endedAtMs: 23_000, address: "127.0.0.11" }))
        .to.equal(true);
    });

    it("is true before the disturbance", () => {
      expect(judge(23_000, { startedAtMs: 23_011, endedAtMs: 24_000 }))
        .to.equal(true);
    });

    it("is false for a disturbance that starts while the request runs", () => {
      expect(judge(23_000, { startedAtMs: 23_010, endedAtMs: 24_000 }))
        .to.equal(false);
    });
  });

  describe("while the time limit is extended", () => {
    it("is false until the extended limit only", () => {
      const history = {
        versions: ADDITION,
        disturbances: [
          createDisturbance({ effect: "extends", endedAtMs: Infinity }),
        ],
      };
      expect(isDeniedWrongly(createRequest(27_100), history)).to.equal(false);
      expect(isDeniedWrongly(createRequest(27_101), history)).to.equal(true);
    });

    it("is false after the extended limit if the limit was lifted since the acknowledgement", () => {
      const extending = createDisturbance({
        effect: "extends",
        endedAtMs: Infinity,
      });
      const isDenied = (endedAtMs: number) =>
        isDeniedWrongly(createRequest(30_000), {
          versions: ADDITION,
          disturbances: [extending, createDisturbance({ endedAtMs })],
        });
      expect(isDenied(20_100)).to.equal(true);
      expect(isDenied(20_101)).to.equal(false);
    });
  });

  describe("for a request within limits that were just raised", () => {
    const versions = [
      createVersion(1, { maxHeaderBytes: 8_192 }),
      createVersion(2, { maxBodyBytes: 2_000 }),
    ];
    const history = { versions, disturbances: [] };

    it("is false while the lower limits may be in force", () => {
      const large = createRequest(21_000, { bodyBytes: 2_000, status: 413 });
      const long = createRequest(21_000, { headerBytes: 9_000, status: 431 });
      expect(isDeniedWrongly(large, history)).to.equal(false);
      expect(isDeniedWrongly(long, history)).to.equal(false);
    });

    it("is true after that", () => {
      const large = createRequest(23_000, { bodyBytes: 2_000, status: 413 });
      const long = createRequest(23_000, { headerBytes: 9_000, status: 431 });
      expect(isDeniedWrongly(large, history)).to.equal(true);
      expect(isDeniedWrongly(long, history)).to.equal(true);
    });
  });
});

describe("findDeniedRequests", () => {
  it("names the request, its path, its status and the daemon", () => {
    expect(
      findDeniedRequests([createRequest(25_000), createRequest(21_000)], {
        versions: ADDITION,
        disturbances: [],
      }),
    ).to.deep.equal([
      `a for /added/1 was denied with 404 by ${ADDRESS} at 25010`,
    ]);
  });
});
