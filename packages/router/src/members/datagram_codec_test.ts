/**
 * Tests of the datagrams that daemons send each other.
 *
 * @module
 */
import { encode } from "@msgpack/msgpack";
import { expect } from "chai";
import { decodeDatagram, encodeDatagram } from "./datagram_codec.ts";

const announce = (ranges: unknown) =>
  decodeDatagram(encode({ kind: "expect", sender: "a", ranges }));

describe("announcement of keys to their next owner", () => {
  it("is read as it was sent, with and without keys", () => {
    const announcements: [number, number, number][][] = [[], [
      [0, 65_535, 1_200],
      [7, 7, 0],
    ]];
    announcements.forEach((ranges) => {
      const sent = { kind: "expect", sender: "a", ranges } as const;
      expect(decodeDatagram(encodeDatagram(sent))._unsafeUnwrap())
        .to.deep.equal(sent);
    });
  });

  // Guards against a daemon that is busy for seconds because it applies the load of a range of a billion keys.
  it("is rejected with keys that don't exist, or a load that is no number", () => {
    [
      [[0, 65_536, 1]],
      [[0, 1_000_000_000, 1]],
      [[-1, 5, 1]],
      [[6, 5, 1]],
      [[0.5, 5, 1]],
      [[0, 5, -1]],
      [[0, 5, NaN]],
      [[0, 5]],
      "0-5",
    ].forEach((ranges) => expect(announce(ranges).isErr()).to.equal(true));
  });
});
